// Package learned decides what a driver's knowledge of its members is worth keeping across restarts, and what of the
// saved state a new run may rely on. It does no I/O and reads no clock: it is given timestamps, the membership and the
// decision module's memory, and returns records, a snapshot, or what holds of a state. Files are internal/durable's,
// and docs/state.md has the design with its measurements.
//
// # Saving
//
// A [Table] holds the state of the present run as it is saved, and is used by one goroutine at a time. It compares what
// is known now with what is saved, and returns the records that are worth a write:
//
//	what                                   when it is saved
//	membership (UpdateMembership)          at once: a drain that was announced binds across a crash
//	slots, ejections, starts (Update)      at the next save after a change
//	age of the evidence of a primary       at every save, where MinSwitchover lets a restart use it
//	positions                              at the last save, or where StalenessBound exceeds SaveInterval
//	hints: windows, op times, work rates   every 10 s at most, when changed by a quarter
//	the timestamp alone                    before MaxPosition runs out, or every third save
//
// Each record begins with the timestamp by which its contents are dated. [Load] makes the state again of a snapshot and
// the records behind it.
//
// # Restoring
//
// [Restore] sorts what is saved into three kinds, each with a rule of its own:
//
//   - What was announced (the membership, MaxPosition) holds until a newer announcement, however old it is.
//   - Evidence (who was primary, positions, ejections) keeps its date, translated to this run's clock. It counts only
//     while it is younger than what could have overtaken it.
//   - Hints (windows, usual times) decay towards what a start without them assumes; the half-life is a warm-up.
//
// The [Verdict] says how much of it applies: a state of another driver gives nothing, one dated after the present only
// what was announced, and one whose age isn't certain no trust in primaries.
//
// # Clocks
//
// A [Timestamp] reads two clocks. The wall clock may be stepped between runs; the machine's uptime may not, but means
// something only within one boot. Where both timestamps are of one boot, ages are differences of uptime, and the wall
// clock only translates dates.
//
// # Invariants
//
//   - Restoring never makes evidence younger than it is: where clocks disagree, the greater age counts or the evidence
//     is discarded.
//   - No acknowledged commit lies beyond MaxPosition: each save reserves it two intervals ahead, and every
//     start raises it to its own time. One that leads by over an hour came from a wrong clock and is discarded.
//   - The records given out, applied in order to the snapshot before them, give exactly the table's state. A prefix of
//     them is a state that was true a little earlier, with removals and drains applied first.
//   - A list of a lower revision than the saved one begins an epoch; revisions up to the highest of earlier epochs say
//     nothing about which list is newer.
package learned
