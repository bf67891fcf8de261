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

// Notifications and statuses are encoded as recorded in JSON and CBOR, for drivers and operators of other versions, and
// are decoded to the same values.
func TestStoredFormsMatchTheGoldenBytes(t *testing.T) {
	hold := Notification{Group: 3, Epoch: 5120007, Stage: StageHeld, From: "m1", To: "m2", Renewals: 2, Lease: 99.5, HoldAge: 12.25}
	for _, c := range []struct {
		notification      Notification
		wantJSON, wantHex string
	}{
		{Notification{}, `{"group":0,"epoch":0,"stage":"none"}`, "a36567726f7570006565706f63680065737461676500"},
		{Notification{Group: 1, Epoch: 7, Stage: StageAnnounced, To: "m2"}, `{"group":1,"epoch":7,"stage":"announced","to":"m2"}`, "a46567726f7570016565706f6368076573746167650162746f626d32"},
		{hold, `{"group":3,"epoch":5120007,"stage":"held","from":"m1","to":"m2","beat":2,"lease":99.5,"age":12.25}`, "a86567726f7570036565706f63681a004e2007657374616765026466726f6d626d3162746f626d32646265617402656c65617365fb4058e0000000000063616765fb4028800000000000"},
		{Notification{Group: -1, Epoch: 9, Stage: StageReleased}, `{"group":-1,"epoch":9,"stage":"released"}`, "a36567726f7570206565706f63680965737461676503"},
		{Notification{Group: 1, Epoch: 9, Stage: StageAborted, From: "m1"}, `{"group":1,"epoch":9,"stage":"aborted","from":"m1"}`, "a46567726f7570016565706f636809657374616765046466726f6d626d31"},
	} {
		text, err := json.Marshal(c.notification)
		if err != nil || string(text) != c.wantJSON {
			t.Errorf("%s, %v", text, err)
		}
		var decoded Notification
		if err := json.Unmarshal([]byte(c.wantJSON), &decoded); err != nil || decoded != c.notification {
			t.Error(decoded, err)
		}
		bytes, err := cbor.Marshal(c.notification)
		if got := hex.EncodeToString(bytes); err != nil || got != c.wantHex {
			t.Errorf("%s, %v", got, err)
		}
		golden, _ := hex.DecodeString(c.wantHex)
		decoded = Notification{}
		if err := cbor.Unmarshal(golden, &decoded); err != nil || decoded != c.notification {
			t.Error(decoded, err)
		}
	}
	for _, c := range []struct {
		status ChangeStatus
		want   string
	}{
		{ChangeStatus{}, `{"group":0,"epoch":0,"stage":"none"}`},
		{ChangeStatus{Notification: hold, Draining: "m1", Primary: "m2", TwoPrimaries: true, Remaining: 4, Expired: true, Finished: true},
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

// Compares the decisions of three drivers for six groups in seeded random runs with a recorded digest. The runs have
// hooks, late, duplicated and lost notifications of peers, observations of primaries and roles, delays and restarts.
func TestDecisionsMatchTheRecordedDigest(t *testing.T) {
	sum, counts := fnv.New64a(), map[string]int{}
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 5))
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
		member := func() string { return [...]string{"", "m1", "m2", "m3"}[random.IntN(4)] }
		record := func(kind string, out Outcome, err error) {
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
			tracker := trackers[random.IntN(len(trackers))]
			switch random.IntN(10) {
			case 0, 1, 2:
				notification := Notification{Group: int64(random.IntN(6)), Stage: Stage(random.IntN(6)), From: member(), To: member()}
				if random.IntN(3) == 0 {
					notification.Lease = float64(random.IntN(400) - 20)
				}
				if random.IntN(4) == 0 && len(sent) > 0 {
					notification.Epoch = sent[random.IntN(len(sent))].Epoch
				}
				complete, out, err := tracker.HandleHook(now, notification, member())
				if err == nil {
					sent = append(sent, complete)
				}
				text, _ := json.Marshal(complete)
				fmt.Fprintln(sum, string(text))
				record("hook", out, err)
			case 3, 4:
				if len(sent) > 0 {
					out, err := tracker.HandleNotification(now, sent[random.IntN(len(sent))])
					record("told", out, err)
				}
			case 5:
				for _, s := range trackers[random.IntN(len(trackers))].Status(now) {
					out, err := tracker.HandleNotification(now, s.Notification)
					record("told status", out, err)
				}
			case 6:
				record("seen", tracker.ObservePrimary(now, int64(random.IntN(6)), member()), nil)
			case 7:
				record("role", tracker.ObserveRole(now, member(), random.IntN(2) == 0), nil)
			case 8:
				now += float64(random.IntN(60))
				record("tick", tracker.Tick(now), nil)
			default:
				if random.IntN(30) == 0 {
					restart(random.IntN(len(trackers)))
				}
				if random.IntN(20) == 0 {
					now += 1200
				}
				record("tick", tracker.Tick(now), nil)
			}
			text, _ := json.Marshal(tracker.Status(now))
			fmt.Fprintln(sum, string(text), tracker.Draining(), tracker.Active())
		}
	}
	t.Log(counts)
	if got, want := sum.Sum64(), uint64(0x1a13d7b733e55d2c); got != want {
		t.Errorf("digest %#016x, recorded %#016x", got, want)
	}
}
