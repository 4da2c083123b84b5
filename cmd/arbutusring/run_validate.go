package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/arbutusring/arbutusring/pkg/policy"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"
)

// fileResult is the result of the checks of one file.
type fileResult struct {
	File  string `json:"file"`
	Kind  string `json:"kind"` // settings of a process, with its role, or configuration
	Error string `json:"error,omitempty"`
}

// runValidate checks files without starting a process. The sections of a file
// determine its kind.
func (c *commandLine) runValidate(context.Context) error {
	if len(c.files) == 0 {
		return usageError{errors.New("validate needs at least one file")}
	}
	var problems errs.Group
	results := make([]fileResult, 0, len(c.files))
	for _, file := range c.files {
		kind, err := validateFile(file)
		result := fileResult{File: file, Kind: kind}
		if err != nil {
			result.Error = err.Error()
			problems.Add(err)
		}
		results = append(results, result)
	}
	if err := c.printResults(results); err != nil {
		return err
	}
	if problems.Err() != nil {
		return usageError{problems.Err()}
	}
	return nil
}

func (c *commandLine) printResults(results []fileResult) error {
	if c.output == outputJSON {
		return c.printJSON(results)
	}
	for _, r := range results {
		if r.Error == "" {
			fmt.Fprintf(c.stdout, "%s: %s: valid\n", r.File, r.Kind)
		}
	}
	return nil
}

// sections holds the keys that distinguish the kinds of files.
type sections struct {
	Host *struct {
		Regions any `toml:"regions"` // gateway only
	} `toml:"host"`
	Control struct {
		DataFolder *string `toml:"data_folder"` // control and directory only
	} `toml:"control"`
	Promotion any `toml:"promotion"` // directory only
}

// role returns the role of the process that the settings are for.
func (s sections) role() settings.Role {
	switch {
	case s.Promotion != nil:
		return settings.RoleDirectory
	case s.Control.DataFolder != nil:
		return settings.RoleControl
	case s.Host.Regions != nil:
		return settings.RoleGateway
	}
	return settings.RoleEntry
}

// validateFile returns the kind of a file and the error of its checks.
func validateFile(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", err
	}
	var s sections
	if err := toml.Unmarshal(text, &s); err != nil || s.Host == nil {
		_, err := policy.ParseNew(file, string(text))
		return "configuration", err
	}
	role := s.role()
	_, err = settings.Parse(file, string(text), role)
	return "settings of " + string(role), err
}
