package enum

import "testing"

type colour uint8

func TestNames(t *testing.T) {
	names := Names{"red", "green"}
	if names.Of(0) != "red" || names.Of(1) != "green" || names.Of(7) != "green" {
		t.Error(names.Of(0), names.Of(1), names.Of(7))
	}
	c := colour(0)
	if err := Parse(names, "colour", []byte("green"), &c); err != nil || c != 1 {
		t.Error(err, c)
	}
	if err := Parse(names, "colour", []byte("blue"), &c); err == nil || err.Error() != `colour "blue" is not known` ||
		c != 1 {
		t.Error(err, c)
	}
}
