package sockets

import (
	"reflect"
	"strings"
	"testing"

	"gorseledge/internal/livesettings"
)

// A key that is added to the config but unknown to the live settings would be refused as a misspelling. Every key of the
// config can either be set by the live settings or is refused by name as one that needs a restart.
func TestConfigKeysAreLiveOrNeedRestart(t *testing.T) {
	var keys []string
	for f := range reflect.TypeFor[Config]().Fields() {
		switch name := f.Tag.Get("json"); name {
		case "":
		case "limits":
			for g := range f.Type.Fields() {
				keys = append(keys, "limits."+g.Tag.Get("json"))
			}
		default:
			keys = append(keys, name)
		}
	}
	live := map[string]string{"discovery": `"127.0.0.1:8500"`, "limits.sockets": "400"}
	for _, key := range keys {
		value, isLive := live[key]
		if !isLive {
			value = "1"
		}
		_, err := livesettings.Parse("live.toml", []byte(key+" = "+value))
		if isLive && err != nil || !isLive && (err == nil || err.Error() != "live.toml:1: "+key+": needs a restart") {
			t.Errorf("%s: %v", key, err)
		}
	}
	if len(keys) < 10 || !strings.Contains(strings.Join(keys, " "), "limits.cores") {
		t.Errorf("found too few keys in Config: %v", keys)
	}
}
