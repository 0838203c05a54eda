// Package census counts what a value holds in memory, so that tests can find state that grows with service.
package census

import (
	"reflect"
	"strings"
)

// census counts the elements of every map, slice and channel that a value holds, by the path of its field. A slice counts
// with its capacity, as that is the memory that it keeps.
type census struct {
	sizes   map[string]int
	visited map[uintptr]bool
}

// Take returns the sizes of everything that a value points to, by path.
func Take(value any) map[string]int {
	c := census{sizes: map[string]int{}, visited: map[uintptr]bool{}}
	c.count("", reflect.ValueOf(value))
	return c.sizes
}

// count counts what a value holds. path is that of the value.
func (c *census) count(path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() && !c.visited[v.Pointer()] {
			c.visited[v.Pointer()] = true
			c.count(path, v.Elem())
		}
	case reflect.Interface:
		if !v.IsNil() {
			c.count(path, v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			c.count(strings.TrimPrefix(path+"."+v.Type().Field(i).Name, "."), v.Field(i))
		}
	case reflect.Slice:
		c.sizes[path] += v.Cap()
		c.countElements(path, v)
	case reflect.Map:
		c.sizes[path] += v.Len()
		for _, key := range v.MapKeys() {
			c.count(path+"[]", v.MapIndex(key))
		}
	case reflect.Chan:
		c.sizes[path] += v.Cap()
	}
}

// countElements counts what the elements of a slice hold, unless they hold nothing.
func (c *census) countElements(path string, v reflect.Value) {
	switch v.Type().Elem().Kind() {
	case reflect.Struct, reflect.Pointer, reflect.Slice, reflect.Map, reflect.Interface:
		for i := range v.Len() {
			c.count(path+"[]", v.Index(i))
		}
	}
}
