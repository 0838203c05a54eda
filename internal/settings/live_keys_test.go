package settings

import (
	"reflect"
	"strings"
	"testing"

	"gorseledge/internal/livesettings"
)

// keysOf returns the dotted keys of all values in the type of a settings object. An element of a list of objects has the key
// "chat", as an example of a name.
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

// An operator who puts a setting of the start into the live settings must learn that it needs a restart, instead of reading
// that the key is unknown. Of all keys of the settings object, one is a live setting, and all others are refused with that
// reason.
func TestStartKeysAreLiveOrNeedRestart(t *testing.T) {
	keys := keysOf(reflect.TypeFor[object](), "")
	if len(keys) < 25 {
		t.Fatalf("found only %d keys: %v", len(keys), keys)
	}
	for _, key := range keys {
		_, err := livesettings.Parse("live.toml", []byte(key+" = 1"))
		if err != nil && !strings.HasPrefix(err.Error(), "live.toml:1: "+key+": needs a restart") {
			t.Errorf("%s: %v", key, err)
		}
		if err == nil && key != "limits.max_connects" {
			t.Errorf("%s is accepted as a live setting, want an error", key)
		}
	}
}
