// Package learned decides which of a driver's knowledge about its members is saved across restarts, and which parts of
// the saved state a new run may use. It does no I/O and reads no clock: it is given timestamps, the membership and the
// decision module's memory, and returns records, a snapshot, or the restored state. Package durable keeps the files;
// docs/state.md describes the design and its measurements.
//
// # Saving
//
// A [Table] holds the state of the present run as it is saved, and is used by one goroutine at a time. It compares the
// current knowledge with the saved state, and returns records for the changes that justify a write:
//
//	what                                   when it is saved
//	membership (UpdateMembership)          at once: an announced drain applies across a crash
//	slots, ejections, starts (Update)      at the next save after a change
//	age of the evidence of a primary       at every save, where MinSwitchover lets a restart use it
//	positions                              at the last save, or where StalenessBound exceeds SaveInterval
//	hints: windows, op times, work rates   every 10 s at most, when changed by a quarter
//	the timestamp alone                    before MaxPosition runs out, or every third save
//
// Each record begins with the timestamp by which its contents are dated. [Load] rebuilds the state from a snapshot and
// the records that follow it.
//
// # Restoring
//
// [Restore] sorts the saved state into three kinds, each with its own rule:
//
//   - Announcements (the membership, MaxPosition) hold until a newer announcement, however old they are.
//   - Evidence (who was primary, positions, ejections) keeps its date, translated to this run's clock. It counts only
//     while it is too young to be outdated.
//   - Hints (windows, usual times) decay towards the values that a start without them assumes; the half-life is the
//     warm-up time of a member.
//
// The [Verdict] reports how much applies: nothing of another driver's state, only announcements of a state dated in the
// future, and no trust in primaries where the age of the state isn't certain.
//
// # Clocks
//
// A [Timestamp] reads two clocks. The wall clock may be stepped between runs. The machine's uptime is never stepped,
// but is comparable only within one boot. If both timestamps are of one boot, ages are differences of uptime, and the
// wall clock is used only to translate dates.
//
// # Invariants
//
//   - Restoring never makes evidence younger than it is: where the clocks disagree, the greater age counts or the
//     evidence is discarded.
//   - No acknowledged commit lies beyond MaxPosition: each save reserves it two save intervals ahead, and every start
//     raises it to the time of the start. A MaxPosition more than an hour ahead came from a wrong clock and is
//     discarded.
//   - The returned records, applied in order to the snapshot before them, give exactly the table's state. A prefix of
//     them gives a state that was true slightly earlier, with removals and drains applied first.
//   - A list with a lower revision than the saved one begins an epoch; revisions up to the highest of earlier epochs
//     can't tell which list is newer.
package learned
