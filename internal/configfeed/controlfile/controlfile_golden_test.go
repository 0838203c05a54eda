package controlfile

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// The files in testdata/golden are control files. The build of revision 5fa7498, which is in service, reads them with the
// values that the tests expect. The files must not change, because operators keep their files during an upgrade. The tests
// deliberately have no option to rewrite them.
const goldenDirectory = "testdata/golden"

// requireGolden fails unless got is byte for byte the content of a golden file.
func requireGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	want := readGolden(t, name)
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs.\ngot:\n%s\nwant:\n%s", name, got, want)
	}
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(goldenDirectory, name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// requireEveryFieldSet fails for each field, element or map value that is zero, at any depth. Without it, a field that is
// omitted from the encoded form when it is empty could be renamed without a test failure.
func requireEveryFieldSet(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s is zero", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		requireEveryFieldSet(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			requireEveryFieldSet(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		if v.Len() == 0 {
			t.Errorf("%s is empty", path)
		}
		for i := range v.Len() {
			requireEveryFieldSet(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			requireEveryFieldSet(t, fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key))
		}
	}
}

// goldenConfig returns the content of control.toml, in which every field is set.
func goldenConfig() Config {
	return Config{
		Fleet:     "lima-norte",
		Name:      "c2",
		Key:       "f0112233445566778899aabbccddeeff",
		OldKey:    "ffeeddccbbaa998877665544332211f00f",
		Directory: "/var/lib/gorsecontrol",
		Writer:    "c1",
		Servers: []Server{
			{Name: "c1", Address: "127.0.0.1:7100", Region: "east"},
			{Name: "c2", Address: "127.0.0.2:7100", Region: "west"},
			{Name: "c3", Address: "127.0.0.3:7100", Region: "south"},
		},
		Via: map[string]string{"127.0.0.1:7100": "127.0.0.9:1234"},
		Keys: [][]byte{
			[]byte("\xf0\x11\x22\x33\x44\x55\x66\x77\x88\x99\xaa\xbb\xcc\xdd\xee\xff"),
			[]byte("\xff\xee\xdd\xcc\xbb\xaa\x99\x88\x77\x66\x55\x44\x33\x22\x11\xf0\x0f"),
		},
	}
}

// A key that is renamed or read differently would break the control files of operators at an upgrade.
func TestControlFileMatchesGoldenFile(t *testing.T) {
	config, err := Read(filepath.Join(goldenDirectory, "control.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if want := goldenConfig(); !reflect.DeepEqual(config, want) {
		t.Errorf("got %+v, want %+v", config, want)
	}
	requireEveryFieldSet(t, "config", reflect.ValueOf(config))
	for name, value := range map[string]Config{"decoded": config, "constructed": goldenConfig()} {
		t.Run(name, func(t *testing.T) {
			encoded, err := toml.Marshal(value)
			if err != nil {
				t.Fatal(err)
			}
			requireGolden(t, "control.toml", encoded)
		})
	}
}

// A file with comments and without the optional keys, as operators write it, has to be read without errors and with zero
// values for the omitted keys.
func TestSparseControlFileMatchesGoldenFile(t *testing.T) {
	config, err := Read(filepath.Join(goldenDirectory, "sparse.toml"))
	if err != nil {
		t.Fatal(err)
	}
	want := goldenConfig()
	want.Name, want.OldKey, want.Keys, want.Via, want.Servers = "c1", "", want.Keys[:1], nil, want.Servers[:1]
	if !reflect.DeepEqual(config, want) {
		t.Errorf("got %+v, want %+v", config, want)
	}
}
