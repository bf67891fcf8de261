package learned

import (
	"testing"
)

func TestForget(t *testing.T) {
	s := savedState(t, 0)
	if n := s.Forget([]string{"1"}, nil); n != 3 || s.Membership["1"].ID != "" || len(s.Groups) != 0 {
		t.Errorf("%d entries of member 1 forgotten: %+v", n, s)
	}
	s = savedState(t, 0)
	if n := s.Forget(nil, []int64{3}); n != 4 || len(s.Membership) != 3 {
		t.Errorf("%d entries of group 3 forgotten: %+v", n, s)
	}
	s = savedState(t, 0)
	if s.Forget(nil, nil); len(s.Membership) != 3 || len(s.Members)+len(s.Groups)+len(s.OpTypes) > 0 || s.Meta.MaxPosition == 0 {
		t.Errorf("not everything except announcements was dropped: %+v", s)
	}
}
