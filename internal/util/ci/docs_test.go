package ci

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const root = "../../.."

var (
	quoted     = regexp.MustCompile("`([^`]+)`")
	sourcePath = regexp.MustCompile(`^(internal|cmd|docs|deploy|logic|tools)/[\w./-]+$`)
	qualified  = regexp.MustCompile(`^[A-Za-z]+(\.[A-Za-z]+)+$`)
	identifier = regexp.MustCompile(`[A-Za-z_]\w*`)
	fileName   = regexp.MustCompile(`\.(go|md|toml|hcl|yml|mod)$`)

	testCommand = regexp.MustCompile("`(?:([A-Z]+)=\\S+ )?go test [^`]*`")
	testPattern = regexp.MustCompile(`-(run|bench) (\w+)`)
	testFolder  = regexp.MustCompile(`\./(internal[\w/]*)`)
)

// The files, folders and qualified names (`Controller.Step`) that the introductory pages refer to exist in the code.
func TestPagesReferToExistingCode(t *testing.T) {
	names := identifiers(t)
	for _, page := range []string{"README.md", "docs/ARCHITECTURE.md", "docs/glossary.md", "docs/CONTRIBUTING.md"} {
		t.Run(page, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join(root, page))
			if err != nil {
				t.Fatal(err)
			}
			for _, line := range strings.Split(string(text), "\n") {
				for _, word := range quoted.FindAllStringSubmatch(referringPart(page, line), -1) {
					checkReference(t, names, word[1])
				}
			}
		})
	}
}

// referringPart returns the part of a line that refers to the code: in the glossary's tables the last column, elsewhere
// the whole line.
func referringPart(page, line string) string {
	if cells := strings.Split(line, "|"); page == "docs/glossary.md" && len(cells) > 2 {
		return cells[len(cells)-2]
	}
	return line
}

func checkReference(t *testing.T, names map[string]bool, word string) {
	t.Helper()
	switch {
	case sourcePath.MatchString(word):
		if _, err := os.Stat(filepath.Join(root, word)); err != nil && !strings.Contains(word, "...") {
			t.Errorf("%s: no such file or folder", word)
		}
	case qualified.MatchString(word) && !fileName.MatchString(word):
		if last := word[strings.LastIndex(word, ".")+1:]; !names[last] {
			t.Errorf("%s: no identifier %s in the code", word, last)
		}
	}
}

// Each test command in the pages runs something: its pattern matches a test of the folder, and the folder's tests read
// the environment variable that it sets.
func TestDocumentedCommandsRunTests(t *testing.T) {
	pages, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	if err != nil || len(pages) == 0 {
		t.Fatal(pages, err)
	}
	commands := 0
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, command := range testCommand.FindAllStringSubmatch(string(text), -1) {
			pattern, folder := testPattern.FindStringSubmatch(command[0]), testFolder.FindStringSubmatch(command[0])
			if pattern == nil || folder == nil {
				continue
			}
			commands++
			kind := map[string]string{"run": "Test", "bench": "Benchmark"}[pattern[1]]
			named := regexp.MustCompile(`func ` + kind + `\w*` + strings.TrimPrefix(pattern[2], kind) + `\w*\(`)
			tests := testFiles(t, folder[1])
			if !named.MatchString(tests) || command[1] != "" && !strings.Contains(tests, `Getenv("`+command[1]+`")`) {
				t.Errorf("%s: %s matches no test", filepath.Base(page), command[0])
			}
		}
	}
	if commands < 5 {
		t.Errorf("only %d commands were found", commands)
	}
}

// testFiles returns the concatenated text of a folder's test files.
func testFiles(t *testing.T, folder string) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(root, folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		all.Write(text)
	}
	return all.String()
}

// identifiers returns all words of the Go files, comments included.
func identifiers(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, folder := range []string{"internal", "cmd", "logic", "sessionclient"} {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, e fs.DirEntry, err error) error {
			if err != nil || e.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			text, err := os.ReadFile(path)
			for _, name := range identifier.FindAllString(string(text), -1) {
				names[name] = true
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return names
}
