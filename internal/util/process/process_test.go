package process

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

// A reload logs the peers that the file names, or the reason why the settings are invalid.
func TestReload(t *testing.T) {
	const text = "hostname=h\nip=10.0.0.1\nzone=z\nportRange=1,9\npeers=10.0.0.2:1\n"
	needsDisk := Role{Check: func(s *settings.Settings) error {
		if s.DataDir == "" {
			return errors.New("a disk is needed")
		}
		return nil
	}}
	for name, c := range map[string]struct {
		role      Role
		text, log string
	}{
		"good": {Role{}, text, `p "E104" "peers"=["10.0.0.2:1"]`},
		"bad": {Role{}, strings.Replace(text, "ip=", "i=", 1),
			`p "E105" "step"="settings" "key"="ip" "error"="ip (it is missing): a value is needed"`},
		"role lacks":     {needsDisk, text, `p "E105" "error"="a disk is needed"`},
		"role is served": {needsDisk, text + "datadir=/d\n", `p "E104" "peers"=["10.0.0.2:1"]`},
		"none":           {Role{}, "", `p "E105" "step"="settings" "error"="open FILE: no such file or directory"`},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings")
			if c.text != "" {
				if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			var out bytes.Buffer
			reload(file, c.role, events.New(&out, "p"))
			got := regexp.MustCompile(`^\d+ `).ReplaceAllString(strings.TrimSpace(out.String()), "")
			if got = strings.ReplaceAll(got, file, "FILE"); got != c.log {
				t.Errorf("got  %s\nwant %s", got, c.log)
			}
		})
	}
}

// The Go runtime's memory limit is seven tenths of the machine's memory.
func TestMemoryLimit(t *testing.T) {
	if got := memoryLimit(&settings.Settings{MemoryMB: 256}); got != 187904819 {
		t.Error(got)
	}
}
