package fleetkey

import (
	"strings"
	"testing"
)

const (
	good  = "00112233445566778899aabbccddeeff"
	other = "ffeeddccbbaa99887766554433221100"
)

func TestDecodeGivesTheSigningKeyFirst(t *testing.T) {
	keys, err := Decode(good, other)
	if err != nil || len(keys) != 2 || keys[0][0] != 0 || keys[1][0] != 0xff {
		t.Fatalf("%x, %v", keys, err)
	}
	if keys, err := Decode(good, ""); err != nil || len(keys) != 1 {
		t.Fatalf("%x, %v", keys, err)
	}
}

func TestDecodeNamesTheSettingThatIsWrong(t *testing.T) {
	for _, c := range []struct{ key, old, setting string }{
		{"", "", "key"}, {good[2:], "", "key"}, {"zz" + good, "", "key"}, {good, "00", "old_key"}, {good, "zz" + good, "old_key"},
	} {
		if _, err := Decode(c.key, c.old); err == nil || err.Setting != c.setting || !strings.Contains(err.Error(), c.setting+": ") {
			t.Errorf("%q, %q: %v, wanted one of %s", c.key, c.old, err, c.setting)
		}
	}
}
