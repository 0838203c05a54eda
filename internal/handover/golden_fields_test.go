package handover

import (
	"fmt"
	"reflect"
	"testing"

	"gorseledge/internal/node"
)

// fieldCheck checks that every field of the golden messages has a value.
type fieldCheck struct {
	t    *testing.T
	seen map[string]bool // fields of the types in alternatives that had a value in at least one message
}

// alternatives are the types of which each message sets only some of the fields: a state of an earlier version has none of
// those that were added later.
var alternatives = []reflect.Type{reflect.TypeFor[Message](), reflect.TypeFor[node.HandoverUpdate](),
	reflect.TypeFor[node.HandoverState]()}

func isAlternative(kind reflect.Type) bool {
	for _, alternative := range alternatives {
		if kind == alternative {
			return true
		}
	}
	return false
}

// value fails the test if v, or an exported field of any value that v contains, is zero. path names v in the failure.
func (c *fieldCheck) value(path string, v reflect.Value) {
	c.t.Helper()
	if v.IsZero() {
		c.t.Errorf("%s has no value", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		c.value(path, v.Elem())
	case reflect.Struct:
		c.fields(path, v)
	case reflect.Map:
		c.filled(path, v)
		for _, key := range v.MapKeys() {
			c.value(fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key))
		}
	case reflect.Slice:
		c.filled(path, v)
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return // a zero byte counts as a value
		}
		for i := range v.Len() {
			c.value(fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	}
}

func (c *fieldCheck) fields(path string, v reflect.Value) {
	c.t.Helper()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() {
			continue // not encoded
		}
		if isAlternative(v.Type()) {
			if v.Field(i).IsZero() {
				continue
			}
			c.seen[fmt.Sprintf("%v.%s", v.Type(), field.Name)] = true
		}
		c.value(path+"."+field.Name, v.Field(i))
	}
}

func (c *fieldCheck) filled(path string, v reflect.Value) {
	c.t.Helper()
	if v.Len() == 0 {
		c.t.Errorf("%s is empty", path)
	}
}

// allSeen fails the test for each field of alternatives that no message sets.
func (c *fieldCheck) allSeen() {
	c.t.Helper()
	for _, kind := range alternatives {
		for i := range kind.NumField() {
			if name := fmt.Sprintf("%v.%s", kind, kind.Field(i).Name); !c.seen[name] {
				c.t.Errorf("no golden message sets %s", name)
			}
		}
	}
}
