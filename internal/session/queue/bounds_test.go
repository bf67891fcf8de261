package queue

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// The limits of a session, and the statuses that producers get when they exceed them.
func TestBounds(t *testing.T) {
	Convey("A session whose client reads messages but doesn't acknowledge them", t, func() {
		il := newInterleaving()
		owner := il.owner()
		owner.Limits.SessionMessages, owner.Limits.WindowBytes, owner.Limits.MessageBytes = 4, 100, 50
		put := func(key string, body string) (status Status) {
			owner.Enqueue("s", key, []byte(body), il.now, func(got Status, _ uint64) { status = got })
			il.flush()
			il.settle()
			return status
		}
		So(put("k1", strings.Repeat("x", 40)), ShouldEqual, 202)
		So(put("k2", strings.Repeat("x", 40)), ShouldEqual, 202)
		Convey("delivers one message, since two exceed the bytes of the window", func() {
			So(il.received, ShouldResemble, []uint64{1})
			il.edge.Ack(1, 1)
			il.flush()
			il.settle()
			So(il.received, ShouldResemble, []uint64{1, 2})
		})
		Convey("refuses a message that is too long, a key that is too long and a fifth message, and recognizes a duplicate",
			func() {
				So(put("k3", strings.Repeat("x", 60)), ShouldEqual, 413)
				So(put(strings.Repeat("k", 200), "x"), ShouldEqual, 400)
				So(put("k2", "again"), ShouldEqual, 200)
				So(put("k3", "x"), ShouldEqual, 202)
				So(put("k4", "x"), ShouldEqual, 202)
				So(put("k5", "x"), ShouldEqual, 429)
				Convey("and delivers all queued messages once the client acknowledges them", func() {
					for range 4 {
						il.edge.Ack(1, il.edge.sockets[1].delivered)
						il.flush()
						il.settle()
					}
					So(il.received, ShouldResemble, []uint64{1, 2, 3, 4})
					So(put("k5", "x"), ShouldEqual, 202)
				})
			})
		Convey("accepts nothing without a lease or without a replica", func() {
			owner.leaseUntil = 0
			So(put("k6", "x"), ShouldEqual, 503)
			owner.leaseUntil = 1e12
			owner.owned["s"].Replicas = nil
			So(put("k7", "x"), ShouldEqual, 503)
		})
		Convey("drops messages that aren't acknowledged in time, and counts them", func() {
			owner.Limits.MaxAge = 1
			il.now += 10
			owner.Tick(il.now)
			So(owner.ExpiredMessages, ShouldBeGreaterThan, 0)
		})
	})
}

// An edge stops reading from a client whose messages the sites don't acknowledge, at a limit of messages and of bytes.
func TestEdgeBoundsUnackedMessages(t *testing.T) {
	for _, bodySize := range []int{1, 100 << 10} {
		o := newInterleaving()
		published := 0
		for ; o.edge.CanPublish(1) && published < 1000; published++ { // no envelope reaches a site
			o.edge.Publish(1, uint64(published+1), make([]byte, bodySize))
		}
		if want := map[int]int{1: maxUnackedMessages, 100 << 10: 3}[bodySize]; published != want {
			t.Errorf("%d messages of %d bytes were accepted, want %d", published, bodySize, want)
		}
	}
}
