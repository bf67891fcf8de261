package proxy

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/group"
)

// commitEvidence is what a proxy concludes from a transaction at member a, whose last statement is a COMMIT.
type commitEvidence struct {
	holder        string // the member in the writer slot afterwards
	coversCommits bool   // a replica may answer reads of what was acknowledged until just before the COMMIT
}

// playCommit runs the statements of a transaction at member a, then beforeCommit, then COMMIT.
func playCommit(t *testing.T, script map[string][]string, beforeCommit func(x *transcript),
	statements ...string) (evidence commitEvidence) {
	t.Helper()
	runTranscript(t, "db", func(x *transcript) {
		x.risingLog = true
		sendQueries(script, statements...)(x)
		beforeCommit(x)
		time.Sleep(thinkTime)
		committedAt := x.proxy.now()
		x.query("COMMIT")
		x.do(func() {
			routing := x.proxy.router.group("s").routing
			target := routing.Route(&group.Requirement{AckedBefore: committedAt}, x.proxy.now(),
				func(*group.Member) bool { return true }, func(string) bool { return false })
			evidence = commitEvidence{routing.Slot.Holder, target.Member != nil && !target.VerifyPrimary}
		})
	})
	return evidence
}

// Guards against stale reads at a deposed primary, which became the primary again for a proxy by its success to the
// COMMIT of a transaction that wrote nothing.
func TestStaleReadsAfterCommitAtDeposedPrimary(t *testing.T) {
	promoteB := func(x *transcript) {
		x.setRole("a", directory.RoleReplica)
		x.setRole("b", directory.RolePrimary)
	}
	changeUnknown := func(*transcript) {} // a may have lost the lead, and the proxy has heard nothing of it
	Convey("The COMMIT of a transaction that wrote nothing", t, func() {
		Convey("does not put a deposed primary back into the writer slot", func() {
			So(playCommit(t, nil, promoteB, "BEGIN", "FETCH x"), ShouldResemble, commitEvidence{holder: "b"})
		})
		Convey("does not prove that reads may rely on the log position in its answer", func() {
			So(playCommit(t, nil, changeUnknown, "BEGIN", "FETCH x"), ShouldResemble, commitEvidence{holder: "a"})
		})
	})
	Convey("The COMMIT of a transaction whose only write failed proves nothing either, as it may not have run", t, func() {
		script := map[string][]string{"STORE x 1": {"FAIL TIMEOUT"}}
		So(playCommit(t, script, promoteB, "BEGIN", "STORE x 1"), ShouldResemble, commitEvidence{holder: "b"})
	})
	Convey("The COMMIT of a transaction that wrote proves that its member leads", t, func() {
		So(playCommit(t, nil, changeUnknown, "BEGIN", "STORE x 1"), ShouldResemble,
			commitEvidence{holder: "a", coversCommits: true})
	})
}
