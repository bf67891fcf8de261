package switchover

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Notifications and statuses go between drivers and to operators as they did when these texts were recorded, and are read back the same.
func TestStoredFormsMatchTheGoldenBytes(t *testing.T) {
	whole := Notification{Group: 3, Epoch: 5120007, Stage: StageHeld, From: "m1", To: "m2", Renewals: 2, Lease: 99.5, HoldAge: 12.25}
	for _, c := range []struct {
		notification      Notification
		wantJSON, wantHex string
	}{
		{Notification{}, `{"group":0,"epoch":0,"stage":"none"}`, "a36567726f7570006565706f63680065737461676500"},
		{Notification{Group: 1, Epoch: 7, Stage: StageAnnounced, To: "m2"}, `{"group":1,"epoch":7,"stage":"announced","to":"m2"}`, "a46567726f7570016565706f6368076573746167650162746f626d32"},
		{whole, `{"group":3,"epoch":5120007,"stage":"held","from":"m1","to":"m2","beat":2,"lease":99.5,"age":12.25}`, "a86567726f7570036565706f63681a004e2007657374616765026466726f6d626d3162746f626d32646265617402656c65617365fb4058e0000000000063616765fb4028800000000000"},
		{Notification{Group: -1, Epoch: 9, Stage: StageReleased}, `{"group":-1,"epoch":9,"stage":"released"}`, "a36567726f7570206565706f63680965737461676503"},
		{Notification{Group: 1, Epoch: 9, Stage: StageAborted, From: "m1"}, `{"group":1,"epoch":9,"stage":"aborted","from":"m1"}`, "a46567726f7570016565706f636809657374616765046466726f6d626d31"},
	} {
		text, err := json.Marshal(c.notification)
		if err != nil || string(text) != c.wantJSON {
			t.Errorf("%s, %v", text, err)
		}
		var back Notification
		if err := json.Unmarshal([]byte(c.wantJSON), &back); err != nil || back != c.notification {
			t.Error(back, err)
		}
		bytes, err := cbor.Marshal(c.notification)
		if got := hex.EncodeToString(bytes); err != nil || got != c.wantHex {
			t.Errorf("%s, %v", got, err)
		}
		golden, _ := hex.DecodeString(c.wantHex)
		back = Notification{}
		if err := cbor.Unmarshal(golden, &back); err != nil || back != c.notification {
			t.Error(back, err)
		}
	}
	for _, c := range []struct {
		status ChangeStatus
		want   string
	}{
		{ChangeStatus{}, `{"group":0,"epoch":0,"stage":"none"}`},
		{ChangeStatus{Notification: whole, Draining: "m1", Primary: "m2", TwoPrimaries: true, Remaining: 4, Expired: true, Finished: true},
			`{"group":3,"epoch":5120007,"stage":"held","from":"m1","to":"m2","beat":2,"lease":99.5,"age":12.25,` +
				`"marked":"m1","primary":"m2","two_primaries":true,"left":4,"lapsed":true,"over":true}`},
	} {
		text, err := json.Marshal(c.status)
		if err != nil || string(text) != c.want {
			t.Errorf("%s, %v", text, err)
		}
		var back ChangeStatus
		if err := json.Unmarshal(text, &back); err != nil || back != c.status {
			t.Error(back, err)
		}
	}
	for err, want := range map[error]string{ErrUnknownPrimary: "the old primary is not known here: name it",
		ErrStale: "a newer change of this group has begun", ErrNoChange: "no change of this group is under way", ErrChangeFinished: "this change is over",
		ErrLeaseExpired: "the lease of this hold has lapsed", ErrTooManyGroups: "too many groups have changes", ErrInvalid: "the word makes no sense"} {
		if err.Error() != want {
			t.Error(err)
		}
	}
	var s Stage
	if err := s.UnmarshalText([]byte("hold")); err == nil || err.Error() != `stage "hold" is not known` {
		t.Error(err)
	}
}

// What drivers decide in seeded histories stays as it was when the digest was recorded: hooks, notifications of peers that come late, twice
// or not at all, members that are seen, roles, pauses and restarts, at three drivers and six groups.
func TestDecisionsMatchTheRecordedDigest(t *testing.T) {
	sum, counts := fnv.New64a(), map[string]int{}
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 5))
		now := 1000.0
		trackers := make([]*Tracker, 3)
		restart := func(i int) {
			own := config
			own.Origin = uint64(i + 1)
			trackers[i] = New(own)
		}
		for i := range trackers {
			restart(i)
		}
		var sent []Notification
		member := func() string { return [...]string{"", "m1", "m2", "m3"}[r.IntN(4)] }
		took := func(kind string, out Outcome, err error) {
			for _, known := range []error{ErrUnknownPrimary, ErrStale, ErrNoChange, ErrChangeFinished, ErrLeaseExpired, ErrTooManyGroups, ErrInvalid} {
				if errors.Is(err, known) {
					kind += " " + known.Error()
				}
			}
			counts[kind]++
			for _, m := range out.Marks {
				fmt.Fprintln(sum, m.Member, m.Draining)
			}
			fmt.Fprintln(sum, now, kind, out.QueryRoles, out.LogText)
		}
		for range 400 {
			b := trackers[r.IntN(len(trackers))]
			switch r.IntN(10) {
			case 0, 1, 2:
				w := Notification{Group: int64(r.IntN(6)), Stage: Stage(r.IntN(6)), From: member(), To: member()}
				if r.IntN(3) == 0 {
					w.Lease = float64(r.IntN(400) - 20)
				}
				if r.IntN(4) == 0 && len(sent) > 0 {
					w.Epoch = sent[r.IntN(len(sent))].Epoch
				}
				whole, out, err := b.HandleHook(now, w, member())
				if err == nil {
					sent = append(sent, whole)
				}
				text, _ := json.Marshal(whole)
				fmt.Fprintln(sum, string(text))
				took("hook", out, err)
			case 3, 4:
				if len(sent) > 0 {
					out, err := b.HandleNotification(now, sent[r.IntN(len(sent))])
					took("told", out, err)
				}
			case 5:
				for _, s := range trackers[r.IntN(len(trackers))].Status(now) {
					out, err := b.HandleNotification(now, s.Notification)
					took("told status", out, err)
				}
			case 6:
				took("seen", b.ObservePrimary(now, int64(r.IntN(6)), member()), nil)
			case 7:
				took("role", b.ObserveRole(now, member(), r.IntN(2) == 0), nil)
			case 8:
				now += float64(r.IntN(60))
				took("tick", b.Tick(now), nil)
			default:
				if r.IntN(30) == 0 {
					restart(r.IntN(len(trackers)))
				}
				if r.IntN(20) == 0 {
					now += 1200
				}
				took("tick", b.Tick(now), nil)
			}
			text, _ := json.Marshal(b.Status(now))
			fmt.Fprintln(sum, string(text), b.Draining(), b.Active())
		}
	}
	t.Log(counts)
	if got, want := sum.Sum64(), uint64(0x1a13d7b733e55d2c); got != want {
		t.Errorf("digest %#016x, recorded %#016x", got, want)
	}
}
