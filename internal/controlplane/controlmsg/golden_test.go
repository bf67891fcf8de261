package controlmsg

import (
	"encoding/hex"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// fill sets every field of a value depending only on its CBOR key, so that renaming Go fields does not change the
// bytes. Slices get two elements and maps one entry.
func fill(t *testing.T, v reflect.Value, key int) {
	t.Helper()
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem(), key)
	case reflect.Struct:
		for i := range v.NumField() {
			number, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("cbor"), ",")
			n, err := strconv.Atoi(number)
			if err != nil {
				t.Fatalf("%s.%s has no CBOR key", v.Type(), v.Type().Field(i).Name)
			}
			fill(t, v.Field(i), n)
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes([]byte{byte(key), 0xff})
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range 2 {
			fill(t, v.Index(i), key+i)
		}
	case reflect.Map:
		k, e := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(t, k, key)
		fill(t, e, key)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(k, e)
	case reflect.String:
		v.SetString(fmt.Sprint("s", key))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(key) + 0.25)
	case reflect.Int, reflect.Int64, reflect.Int32, reflect.Int8:
		v.SetInt(int64(key + 20))
	case reflect.Uint64, reflect.Uint32, reflect.Uint8:
		v.SetUint(uint64(key + 20))
	default:
		t.Fatalf("no sample of %s", v.Type())
	}
}

// sampleFrames returns two frames for each field of Frame, with only that field set: one with all nested fields set,
// and one with an empty value. It adds a frame with all fields, one without fields, and the two kinds of Hello.
func sampleFrames(t *testing.T) (names []string, frames map[string]*Frame) {
	t.Helper()
	frames = map[string]*Frame{}
	add := func(name string, f *Frame) {
		names = append(names, name)
		frames[name] = f
	}
	typ := reflect.TypeFor[Frame]()
	for i := range typ.NumField() {
		key, _, _ := strings.Cut(typ.Field(i).Tag.Get("cbor"), ",")
		full, empty := &Frame{}, &Frame{}
		fill(t, reflect.ValueOf(full).Elem().Field(i), i+1)
		if f := reflect.ValueOf(empty).Elem().Field(i); f.Kind() == reflect.Pointer {
			f.Set(reflect.New(f.Type().Elem()))
		} else {
			f.Set(reflect.MakeSlice(f.Type(), 1, 1))
		}
		add("field-"+key+"-full", full)
		add("field-"+key+"-empty", empty)
	}
	all := &Frame{}
	fill(t, reflect.ValueOf(all).Elem(), 0)
	add("all", all)
	add("none", &Frame{})
	add("hello", NewHello("agent", "a1", "10.1.0.8:7440"))
	add("welcome", &Frame{Hello: &Hello{Kind: KindHelloReply, AcceptsCompressed: true}})
	return names, frames
}

// The bytes and traffic class of each frame are those of testdata/frames.txt, and the bytes decode to the same frame.
// GOLDEN=write rewrites the file; a change of it changes the protocol between processes of different versions.
func TestFrameEncodings(t *testing.T) {
	names, frames := sampleFrames(t)
	var b strings.Builder
	for _, name := range names {
		raw, err := cbor.Marshal(frames[name])
		if err != nil {
			t.Fatal(name, err)
		}
		fmt.Fprintf(&b, "%s %d %s\n", name, frames[name].TrafficClass(), hex.EncodeToString(raw))
		back := &Frame{}
		if err := cbor.Unmarshal(raw, back); err != nil {
			t.Fatal(name, err)
		}
		again, _ := cbor.Marshal(back)
		if string(again) != string(raw) || strings.HasSuffix(name, "full") && !reflect.DeepEqual(back, frames[name]) {
			t.Errorf("%s: decoded and encoded again it is %x", name, again)
		}
	}
	const file = "testdata/frames.txt"
	if os.Getenv("GOLDEN") == "write" {
		if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(b.String(), "\n")
	if len(wantLines) != len(gotLines) {
		t.Errorf("%d lines, want %d", len(gotLines), len(wantLines))
	}
	for i := range min(len(wantLines), len(gotLines)) {
		if gotLines[i] != wantLines[i] {
			t.Errorf("got  %s\nwant %s", gotLines[i], wantLines[i])
		}
	}
}

// The names of purposes are keys in a process's status, and their numbers are traffic classes.
func TestPurposeNames(t *testing.T) {
	want := []string{"unknown", "discovery", "lease renewals", "lease records", "driver lists", "member records",
		"member heartbeats", "configuration", "shard maps", "digests", "agreement heartbeats", "agreement entries",
		"primary reports", "operator calls", "quotas", "relayed statements", "writer leases", "unknown"}
	for i, name := range want {
		if got := Purpose(i).String(); got != name {
			t.Errorf("purpose %d is %q, want %q", i, got, name)
		}
	}
}
