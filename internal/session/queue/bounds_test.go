package queue

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// What a session may hold, and what its producers are told beyond it.
func TestBounds(t *testing.T) {
	Convey("A session whose client reads, but acknowledges nothing", t, func() {
		o := newInterleaving()
		h := o.owner()
		h.Limits.SessionMessages, h.Limits.WindowBytes, h.Limits.MessageBytes = 4, 100, 50
		put := func(key string, body string) (status Status) {
			h.Enqueue("s", key, []byte(body), o.now, func(got Status, _ uint64) { status = got })
			o.flush()
			o.settle()
			return status
		}
		So(put("k1", strings.Repeat("x", 40)), ShouldEqual, 202)
		So(put("k2", strings.Repeat("x", 40)), ShouldEqual, 202)
		Convey("gets one message, as two are over its window's bytes", func() {
			So(o.received, ShouldResemble, []uint64{1})
			o.edge.Ack(1, 1)
			o.flush()
			o.settle()
			So(o.received, ShouldResemble, []uint64{1, 2})
		})
		Convey("refuses what is too long, a key that is, and the fifth message, and says the same of a repeat as before",
			func() {
				So(put("k3", strings.Repeat("x", 60)), ShouldEqual, 413)
				So(put(strings.Repeat("k", 200), "x"), ShouldEqual, 400)
				So(put("k2", "again"), ShouldEqual, 200)
				So(put("k3", "x"), ShouldEqual, 202)
				So(put("k4", "x"), ShouldEqual, 202)
				So(put("k5", "x"), ShouldEqual, 429)
				Convey("which all come once it acknowledges", func() {
					for range 4 {
						o.edge.Ack(1, o.edge.sockets[1].delivered)
						o.flush()
						o.settle()
					}
					So(o.received, ShouldResemble, []uint64{1, 2, 3, 4})
					So(put("k5", "x"), ShouldEqual, 202)
				})
			})
		Convey("takes nothing without a lease, or without a neighbour", func() {
			h.leaseUntil = 0
			So(put("k6", "x"), ShouldEqual, 503)
			h.leaseUntil = 1e12
			h.owned["s"].Replicas = nil
			So(put("k7", "x"), ShouldEqual, 503)
		})
		Convey("gives up what nobody fetches in time, and counts it", func() {
			h.Limits.MaxAge = 1
			o.now += 10
			h.Tick(o.now)
			So(h.ExpiredMessages, ShouldBeGreaterThan, 0)
		})
	})
}

// A client that sends faster than two sites take it is read no further than its edge may hold, by messages and by
// bytes.
func TestEdgeHoldsNoMore(t *testing.T) {
	for _, size := range []int{1, 100 << 10} {
		o := newInterleaving()
		n := 0
		for ; o.edge.CanPublish(1) && n < 1000; n++ { // nothing comes to any site meanwhile
			o.edge.Publish(1, uint64(n+1), make([]byte, size))
		}
		if want := map[int]int{1: maxUnacked, 100 << 10: 3}[size]; n != want {
			t.Errorf("%d messages of %d bytes, not %d", n, size, want)
		}
	}
}
