package jsonstrict

import (
	"reflect"
	"strings"
	"sync"
)

// fieldTypes holds the fields of each struct type: reflect.Type to map[string]reflect.Type.
var fieldTypes sync.Map

// fieldsOf returns the types of the fields of a struct by their JSON names. Every field
// that is decoded must have a tag with its name.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	if fields, ok := fieldTypes.Load(t); ok {
		return fields.(map[string]reflect.Type)
	}
	fields := make(map[string]reflect.Type)
	for _, f := range reflect.VisibleFields(t) {
		if name, _, _ := strings.Cut(f.Tag.Get("json"), ","); name != "" && name != "-" {
			fields[name] = f.Type
		}
	}
	fieldTypes.Store(t, fields)
	return fields
}
