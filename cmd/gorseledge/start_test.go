package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"gorseledge/internal/settings"
)

// runRefused runs the program with a config or arguments that it refuses, and returns its exit code and output.
func runRefused(t *testing.T, configPath string, args ...string) (code int, out []byte) {
	t.Helper()
	command := exec.Command(program, args...)
	command.Env = []string{"LB_CONFIG=" + configPath, "TMPDIR=" + t.TempDir()}
	out, err := command.CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) {
		t.Fatalf("%v, %s", err, out)
	}
	return exit.ExitCode(), out
}

// writeConfigText writes a config file and returns its path.
func writeConfigText(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Exit code 2 distinguishes invalid settings from other failures. With invalid settings the program prints one line that
// names the wrong key and exits with 2, both at a start and with check FILE.
func TestRefusedSettingsExitWithTwo(t *testing.T) {
	const beforeSettings = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":`
	for _, c := range []struct{ key, settings string }{
		{"settings", `7}`},
		{"settings.limits.max_connects", `{"limits":{"max_connects":-1}}}`},
		{"settings.service_types[0].effect", `{"service_types":[{"name":"chat","effect":"odd"}]}}`},
		{"settings.service_types", `{"service_types":{}}}`},
	} {
		path := writeConfigText(t, beforeSettings+c.settings)
		for name, args := range map[string][]string{"start": nil, "check": {"check", path}} {
			t.Run(c.key+" at "+name, func(t *testing.T) {
				code, out := runRefused(t, path, args...)
				if code != 2 || bytes.Count(out, []byte("\n")) != 1 ||
					!bytes.Contains(out, []byte(c.key+": ")) || bytes.Contains(out, []byte("started")) {
					t.Errorf("exit code %d, %s", code, out)
				}
			})
		}
	}
}

// An invalid config file, unlike invalid settings, must exit with 1 and write an error line to the log.
func TestRefusedConfigExitsWithOne(t *testing.T) {
	for _, c := range []struct{ name, text, key string }{
		{"not JSON", "{{", ""},
		{"no addresses", "{}", ""},
		{"peers not allowed", `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{},"peers":["127.0.0.1:9"]}`, "peers"},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, out := runRefused(t, writeConfigText(t, c.text))
			if code != 1 || !bytes.Contains(out, []byte(`"level":"error"`)) || !bytes.Contains(out, []byte(c.key)) {
				t.Errorf("exit code %d, %s", code, out)
			}
		})
	}
	t.Run("no file", func(t *testing.T) {
		code, out := runRefused(t, filepath.Join(t.TempDir(), "config.json"))
		if code != 1 || !bytes.Contains(out, []byte(`"level":"error"`)) {
			t.Errorf("exit code %d, %s", code, out)
		}
	})
}

// A node that served clients without its admin address could not be operated. With an unusable admin_addr it does not
// start, and one line names the key.
func TestWrongAdminAddressIsNamed(t *testing.T) {
	taken := listenLoopback(t)
	for name, address := range map[string]string{"no port": "127.0.0.1", "empty port": "127.0.0.1:",
		"in use": taken.Addr().String(), "same as listen": "127.0.0.1:5999"} {
		t.Run(name, func(t *testing.T) {
			text := fmt.Sprintf(`{"listen":"127.0.0.1:5999","discovery":"127.0.0.1:1","settings":{},"admin_addr":%q}`, address)
			code, out := runRefused(t, writeConfigText(t, text))
			if code != 1 || bytes.Count(out, []byte("admin_addr")) != 1 {
				t.Errorf("exit code %d, %s", code, out)
			}
		})
	}
}

// A valid config must not be reported as an error: check prints "good" and exits with 0.
func TestCheckOfGoodConfig(t *testing.T) {
	path := writeConfigText(t, `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":{}}`)
	out, err := exec.Command(program, "check", path).CombinedOutput()
	if err != nil {
		t.Errorf("%v, %s", err, out)
	}
	if string(out) != "good\n" {
		t.Errorf("printed %q, want %q", out, "good\n")
	}
}

// A wrong command line must exit with 2 after one line of output. It must neither print the usage nor start a node.
func TestWrongCommandLineExitsWithTwo(t *testing.T) {
	for name, args := range map[string][]string{"unknown command": {"serve"}, "check without a file": {"check"},
		"empty config path": {"--config", ""}} {
		t.Run(name, func(t *testing.T) {
			code, out := runRefused(t, "", args...)
			if code != 2 {
				t.Errorf("exit code %d, want 2", code)
			}
			if !bytes.HasPrefix(out, []byte("gorseledge: ")) || bytes.Count(out, []byte("\n")) != 1 {
				t.Errorf("printed %q, want one line that begins with the program's name", out)
			}
		})
	}
}

// Refused settings must exit with their own code even if their error is wrapped in another one.
func TestExitCodeOfAnError(t *testing.T) {
	refused := fmt.Errorf("start: %w", &settings.KeyError{Key: "settings.siblings", Reason: "negative"})
	if code := exitCode(refused); code != exitRefused {
		t.Errorf("exit code %d for invalid settings, want %d", code, exitRefused)
	}
	if code := exitCode(errors.New("listen: address in use")); code != exitFailed {
		t.Errorf("exit code %d for another error, want %d", code, exitFailed)
	}
}
