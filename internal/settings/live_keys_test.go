package settings

import (
	"reflect"
	"strings"
	"testing"

	"gorseledge/internal/livesettings"
)

// keysOf gives the dotted keys of all values of a settings object; the rows of a list go by a name.
func keysOf(t reflect.Type, key string) (keys []string) {
	switch t.Kind() {
	case reflect.Pointer:
		return keysOf(t.Elem(), key)
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Struct {
			return keysOf(t.Elem(), key+".chat")
		}
	case reflect.Struct:
		for i := range t.NumField() {
			name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
			keys = append(keys, keysOf(t.Field(i).Type, strings.TrimPrefix(key+"."+name, "."))...)
		}
		return keys
	}
	return []string{key}
}

// Every key that the settings object of a start knows is live, or refused by name as one that needs a restart: none is
// unknown to the live settings.
func TestStartKeysAreLiveOrNeedRestart(t *testing.T) {
	keys := keysOf(reflect.TypeFor[object](), "")
	if len(keys) < 25 {
		t.Fatalf("only %v", keys)
	}
	for _, key := range keys {
		_, err := livesettings.Parse("live.toml", []byte(key+" = 1"))
		if err != nil && !strings.HasPrefix(err.Error(), "live.toml:1: "+key+": needs a restart") {
			t.Errorf("%s: %v", key, err)
		}
		if err == nil && key != "limits.max_connects" {
			t.Errorf("%s is live", key)
		}
	}
}
