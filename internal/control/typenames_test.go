package control

import (
	"strings"
	"testing"
)

// Errors for bodies of wrong types must keep the names that the types had when the texts were recorded.
func TestBodiesOfWrongTypesKeepTheirText(t *testing.T) {
	const prefix = "json: cannot unmarshal "
	for _, c := range []struct{ path, body, want string }{
		{"/switch", `5`, prefix + "number into Go value of type switchover.Word"},
		{"/switch", `{"stage":5}`, prefix + "number into Go struct field Word.stage of type switchover.Stage"},
		{"/switch", `{"epoch":"x"}`, prefix + "string into Go struct field Word.epoch of type uint64"},
		{"/switch/told", `{}`, prefix + "object into Go value of type []switchover.Word"},
		{"/membership/forget", `5`, prefix + "number into Go value of type control.Forgotten"},
		{"/membership/forget", `{"name":5}`, prefix + "number into Go struct field Forgotten.name of type string"},
		{"/zones/order", `{"zone":5}`, prefix + "number into Go struct field Command.zone of type string"},
		{"/zones/order", `5`, prefix + "number into Go value of type zones.Command"},
	} {
		t.Run(c.path+" "+c.body, func(t *testing.T) {
			d := &fakeDriver{}
			answer := serveRequest(d, d, "", "POST", c.path, "", c.body)
			if !strings.HasPrefix(answer, "400 ") || !strings.Contains(answer, "] "+c.want+"\n") {
				t.Errorf("got  %s\nwant %s", answer, c.want)
			}
		})
	}
}
