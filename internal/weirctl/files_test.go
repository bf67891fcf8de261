package weirctl

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// Errors for files with wrong types must keep the names that the types had when the texts were recorded.
func TestFileErrorsUsePublishedTypeNames(t *testing.T) {
	for _, c := range []struct{ name, command, text, want string }{
		{"change", "found", `{"fate":5}`, "Change.fate of type shardmap.Fate"},
		{"cluster", "plan", `{"nodes":[{"state":5}]}`, "Node.nodes.state of type shardplan.State"},
	} {
		t.Run(c.name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "file.json")
			if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			args := []string{"shards", c.command, file}
			if c.command == "found" {
				args = []string{"shards", c.command, "127.0.0.1:1", file} // the file is read before the machine is asked
			}
			var out, errs bytes.Buffer
			code := Main(args, &out, &errs)
			want := "weirctl: json: cannot unmarshal number into Go struct field " + c.want + "\n"
			if code != exitFailure || errs.String() != want {
				t.Fatalf("code %d: %s", code, errs.String())
			}
		})
	}
}
