// Package processtest checks the command line of a program of the system.
package processtest

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"weirwind/internal/util/process"
	"weirwind/internal/util/settings"
)

// minimal is a settings file with what every program needs.
const minimal = "hostname=h\nip=10.0.0.1\nzone=z\nportRange=1,9\n"

// Check runs a role's program with command lines that exit before it serves. Its usage text must equal
// testdata/help.txt. roleSettings are the lines of a settings file that the role needs beyond the minimal ones; without
// them, Check of the role must return an error with the text wantError.
func Check(t *testing.T, role process.Role, roleSettings, wantError string) {
	t.Helper()
	t.Setenv(settings.EnvVariable, "")
	help, err := os.ReadFile("testdata/help.txt")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings")
	for _, c := range []struct {
		name, settings string
		args           []string
		code           int
		out            string
	}{
		{"help", "", []string{"--help"}, 0, string(help)},
		{"no settings file", "", nil, 2, string(help)},
		{"an argument too many", "", []string{"-settings", file, "more"}, 2, string(help)},
		{"an unknown flag", "", []string{"-wrong"}, 2, "flag provided but not defined: -wrong\n" + string(help)},
		{"figures at no port", "", []string{"-settings", file, "-metrics", "metrics"}, 2, invalidMetricsOutput(role, help)},
		{"a file that is not there", "", []string{"-check", "-settings", file + "s"}, 1, ""},
		{"bad settings", "hostname=h\n", []string{"-check", "-settings", file}, 1, ""},
		{"settings without what the role needs", minimal, []string{"-check", "-settings", file}, 1, ""},
		{"settings", minimal + roleSettings, []string{"-check", "-settings", file}, 0, "the settings can be served with\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := os.WriteFile(file, []byte(c.settings), 0o600); err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			if code := process.Main(role, c.args, &out); code != c.code || out.String() != c.out {
				t.Errorf("exit code %d, want %d; output\n%s\nwant\n%s", code, c.code, out.String(), c.out)
			}
		})
	}
	set, err := settings.Read([]byte(minimal))
	if err != nil {
		t.Fatal(err)
	}
	if err := role.Check(set); err == nil || err.Error() != wantError {
		t.Errorf("%v, want %s", err, wantError)
	}
}

// invalidMetricsOutput returns what a role prints for an invalid -metrics flag.
func invalidMetricsOutput(role process.Role, help []byte) string {
	if role.ServesMetrics {
		return string(help)
	}
	return "flag provided but not defined: -metrics\n" + string(help)
}
