package weirctl

// This file owns the commands on the disks of stopped core machines: docs/system-operator.md.

import (
	"fmt"
	"io"
	"os"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/consensus/store"
)

var stateCommands = []command{
	{"state check", exactly(1), stateCheck, `  weirctl state check FOLDER                ` +
		`what a stopped core machine's disk holds
`},
	{"state export", exactly(2), stateExport, `  weirctl state export FOLDER FILE          ` +
		`its operator's word, for a restore
`},
	{"state import", minimum(4), stateImport, "  weirctl state import FILE FOLDER ADDR VOTER...\n" +
		continuation + "founds a core anew from an export: on each new machine's empty FOLDER, with its own\n" +
		continuation + "ctl ADDR and the same list of all VOTERs' ctl addresses. Only for the day on which\n" +
		continuation + "a majority of the disks is gone: docs/system-operator.md\n"},
}

// exported is the replicated state in a file, outside of a core.
type exported struct {
	Format string          `cbor:"1,keyasint"` // exportFormat
	Entry  consensus.Entry `cbor:"2,keyasint"` // newest entry of the disk
	Term   uint64          `cbor:"3,keyasint"` // newest term that the disk knows
}

const exportFormat = "weirwind core 1"

// termIncrement lifts a restored core over all terms that its lost machines can have reached.
const termIncrement = 1 << 20

func stateCheck(args []string, out io.Writer) error {
	hard, found, err := store.Inspect(args[0])
	if err != nil {
		return err
	}
	if !found {
		fmt.Fprintln(out, "nothing was ever kept there")
		return nil
	}
	var state config.State
	if len(hard.Last.Value) > 0 {
		if err := cbor.Unmarshal(hard.Last.Value, &state); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "voter %s, term %d, entry %d of term %d, configuration %d (%d bytes, %d changes)\n",
		hard.ID, hard.Term, hard.Last.Index, hard.Last.Term, state.Version, len(state.Raw), len(state.History))
	if hard.Commit >= hard.Last.Index && hard.CommitTerm == hard.Last.Term {
		fmt.Fprintln(out, "the entry was known committed here")
	} else {
		fmt.Fprintln(out, "whether the entry was committed is not known here: "+
			"another disk may hold a newer one, or none took it")
	}
	for _, voter := range hard.Last.Voters {
		fmt.Fprintf(out, "  voter %s at %s\n", voter.ID, voter.Addr)
	}
	return nil
}

func stateExport(args []string, out io.Writer) error {
	folder, file := args[0], args[1]
	hard, found, err := store.Inspect(folder)
	if err != nil {
		return err
	}
	if !found {
		return fmt.Errorf("%s: nothing was ever kept there", folder)
	}
	raw, err := cbor.Marshal(exported{exportFormat, hard.Last, hard.Term})
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	fmt.Fprintf(out, "entry %d of term %d is in %s; of several disks' exports the one with the highest term, "+
		"then entry, is the newest\n", hard.Last.Index, hard.Last.Term, file)
	return nil
}

// stateImport writes an export to the disk of a machine of a new core.
func stateImport(args []string, out io.Writer) (err error) {
	file, folder, addr, voters := args[0], args[1], args[2], args[3:]
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var e exported
	if err := cbor.Unmarshal(raw, &e); err != nil || e.Format != exportFormat {
		return fmt.Errorf("%s is no export of a core", file)
	}
	disk, _, found, err := store.Open(folder)
	if err != nil {
		return err
	}
	defer func() {
		if closed := disk.Close(); err == nil {
			err = closed
		}
	}()
	if found {
		return fmt.Errorf("%s is not empty: a restore goes to an empty folder only", folder)
	}
	hard := consensus.Restore(addr, voters, e.Entry, max(e.Term, e.Entry.Term)+termIncrement)
	if hard.ID == "" {
		return fmt.Errorf("%s is not among the voters", addr)
	}
	if err := disk.Save(&hard); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s begins as voter %s with term %d; start it with init=false once all voters are restored\n",
		addr, hard.ID, hard.Term)
	return warnOfLaterChanges(&e, out)
}

// warnOfLaterChanges says which changes a restore gives up: those that were acknowledged after the exported version.
// Who retries one of them is told the version that is in place, and has to build on that.
func warnOfLaterChanges(e *exported, out io.Writer) error {
	var state config.State
	if len(e.Entry.Value) > 0 {
		if err := cbor.Unmarshal(e.Entry.Value, &state); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "configuration %d will be in place: changes that were acknowledged after it are given up, "+
		"and are to be made again on it\n", state.Version)
	return nil
}
