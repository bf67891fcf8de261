package transport

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
)

// The bytes that a link writes, plain and compressed, are those of testdata/frames.txt, and decode to the frame that
// was sent. GOLDEN=write rewrites the file, which means that processes of two versions may no longer understand each
// other.
func TestFramingMatchesRecordedBytes(t *testing.T) {
	var b strings.Builder
	for _, sample := range []struct {
		name  string
		frame testFrame
	}{
		{"empty", testFrame{}},
		{"short", testFrame{Class: 3, Text: "abc"}},
		{"at the threshold", testFrame{Text: strings.Repeat("a", compressAbove-5)}},
		{"above the threshold", testFrame{Text: strings.Repeat("a", compressAbove-4)}},
		{"long", testFrame{Class: 2, Text: strings.Repeat(`"type":"primary",`, 1000)}},
	} {
		for _, compress := range []bool{false, true} {
			raw := writtenBytes(t, &sample.frame, compress)
			if len(raw) > 200 {
				start := hex.EncodeToString(raw[:100])
				fmt.Fprintf(&b, "%s, compress %v: %d bytes, %s...\n", sample.name, compress, len(raw), start)
			} else {
				fmt.Fprintf(&b, "%s, compress %v: %s\n", sample.name, compress, hex.EncodeToString(raw))
			}
			if back := readBack(t, raw); len(back) != 1 || back[0] != sample.frame {
				t.Errorf("%s, compress %v: %d frames came back, or another one", sample.name, compress, len(back))
			}
		}
	}
	const file = "testdata/frames.txt"
	if os.Getenv("GOLDEN") == "write" {
		if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if want, err := os.ReadFile(file); err != nil || string(want) != b.String() {
		t.Errorf("%v; got\n%s\nwant\n%s", err, b.String(), want)
	}
}

// writtenBytes returns the bytes that a link writes for a frame.
func writtenBytes(t *testing.T, f *testFrame, compress bool) []byte {
	t.Helper()
	near, far := net.Pipe()
	l := start[testFrame](near, "pipe")
	if compress {
		l.EnableCompression()
	}
	if !l.Send(f) {
		t.Fatal("the link is down")
	}
	head := make([]byte, prefixBytes)
	if _, err := io.ReadFull(far, head); err != nil {
		t.Fatal(err)
	}
	raw := make([]byte, binary.BigEndian.Uint32(head)&^compressedFlag)
	if _, err := io.ReadFull(far, raw); err != nil {
		t.Fatal(err)
	}
	l.Close()
	if rest, _ := io.ReadAll(far); len(rest) > 0 {
		t.Errorf("%d bytes behind the frame", len(rest))
	}
	return append(head, raw...)
}

// readBack returns the frames that a link reads from bytes.
func readBack(t *testing.T, raw []byte) (frames []testFrame) {
	t.Helper()
	near, far := net.Pipe()
	go func() {
		far.Write(raw)
		far.Close()
	}()
	if err := start[testFrame](near, "pipe").read(0, func(f *testFrame) { frames = append(frames, *f) }); err != io.EOF {
		t.Errorf("the end is %v, want EOF", err)
	}
	return frames
}

// A frame longer than the limit ends the link before its bytes are read, and so does one that is truncated or is not
// valid CBOR.
func TestBadFramesEndTheLink(t *testing.T) {
	for name, raw := range map[string]string{
		"too long":       "00800001",
		"no CBOR":        "00000001ff",
		"cut short":      "00000005a1",
		"another's type": "00000001f5",
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := hex.DecodeString(raw)
			if err != nil {
				t.Fatal(err)
			}
			near, far := net.Pipe()
			go func() {
				far.Write(raw)
				far.Close()
			}()
			if err := start[testFrame](near, "pipe").read(0, func(*testFrame) { t.Error("a frame was taken") }); err == nil {
				t.Error("the link ended without an error")
			}
		})
	}
}

// DialTimeout doubles from a quarter of a second to one and a half.
func TestDialTimeouts(t *testing.T) {
	var got []string
	for _, n := range []int{0, 1, 2, 3, 4, 100} {
		got = append(got, DialTimeout(n).String())
	}
	if s := strings.Join(got, " "); s != "250ms 500ms 1s 1.5s 1.5s 1.5s" {
		t.Error(s)
	}
}
