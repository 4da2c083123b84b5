package wal

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	segmentPattern = "*.wal"
	segmentFormat  = "%016x.wal"
)

// segment is one file of the log.
type segment struct {
	number   uint64
	path     string
	size     int64
	maxIndex uint64 // greatest index of any entry in the file
}

func segmentPath(dir string, number uint64) string {
	return filepath.Join(dir, fmt.Sprintf(segmentFormat, number))
}

// listSegments returns the segments in order, without reading them. It returns
// an error if their numbers are not consecutive.
func listSegments(fs fileSystem, dir string) ([]segment, error) {
	names, err := fs.Glob(filepath.Join(dir, segmentPattern))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	segments := make([]segment, 0, len(names))
	for _, path := range names {
		s := segment{path: path}
		if _, err := fmt.Sscanf(filepath.Base(path), segmentFormat, &s.number); err != nil || path != segmentPath(dir, s.number) {
			return nil, Error.New("%s: file name is not that of a segment", path)
		}
		if n := len(segments); n > 0 && segments[n-1].number+1 != s.number {
			return nil, Error.New("%s: the segment before it is missing", path)
		}
		segments = append(segments, s)
	}
	return segments, nil
}

// load replays the segment. Only the last segment may end with a torn record;
// load truncates it and returns the number of bytes removed.
func (s *segment) load(fs fileSystem, r *replay, last bool) (truncatedBytes int64, err error) {
	b, err := fs.ReadFile(s.path)
	if err != nil {
		return 0, Error.Wrap(err)
	}
	off := 0
	for off < len(b) {
		payload, next, status := readRecord(b, off)
		if status != recordValid {
			if !last || !isTornWrite(b, off, status) {
				return 0, Error.New("%s: offset %d: record is corrupt", s.path, off)
			}
			break
		}
		if off == 0 && (len(payload) == 0 || payload[0] != itemSegment) {
			return 0, Error.New("%s: offset 0: the first record is not that of a segment", s.path)
		}
		maxIndex, err := r.applyRecord(payload, s.number)
		if err != nil {
			return 0, Error.New("%s: offset %d: %v", s.path, off, err)
		}
		s.maxIndex = max(s.maxIndex, maxIndex)
		off = next
	}
	s.size = int64(off)
	if off < len(b) {
		return int64(len(b) - off), truncateFile(fs, s.path, s.size)
	}
	return 0, nil
}

func truncateFile(fs fileSystem, path string, size int64) error {
	f, err := fs.OpenFile(path, os.O_WRONLY)
	if err != nil {
		return Error.Wrap(err)
	}
	err = f.Truncate(size)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	return Error.Wrap(err)
}
