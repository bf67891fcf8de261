package weirctl

// This file has the commands for the disks of stopped core machines: docs/system-operator.md.

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
	{"state import", atLeast(4), stateImport, "  weirctl state import FILE FOLDER ADDR VOTER...\n" +
		continuationIndent + "founds a core anew from an export: on each new machine's empty FOLDER, with its own\n" +
		continuationIndent + "ctl ADDR and the same list of all VOTERs' ctl addresses. Only for the day on which\n" +
		continuationIndent + "a majority of the disks is gone: docs/system-operator.md\n"},
}

// exportFile is the content of a file with the exported replicated state of a core.
type exportFile struct {
	Format string          `cbor:"1,keyasint"` // exportFormat
	Entry  consensus.Entry `cbor:"2,keyasint"` // the last entry on the disk
	Term   uint64          `cbor:"3,keyasint"` // the highest term on the disk
}

const exportFormat = "weirwind core 1"

// termIncrement makes the term of a restored core higher than any term that the lost machines can have reached.
const termIncrement = 1 << 20

func stateCheck(args []string, out io.Writer) error {
	hardState, found, err := store.Inspect(args[0])
	if err != nil {
		return err
	}
	if !found {
		fmt.Fprintln(out, "nothing was ever kept there")
		return nil
	}
	var state config.State
	if len(hardState.Last.Value) > 0 {
		if err := cbor.Unmarshal(hardState.Last.Value, &state); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "voter %s, term %d, entry %d of term %d, configuration %d (%d bytes, %d changes)\n",
		hardState.ID, hardState.Term, hardState.Last.Index, hardState.Last.Term, state.Version, len(state.Raw),
		len(state.History))
	if hardState.Commit >= hardState.Last.Index && hardState.CommitTerm == hardState.Last.Term {
		fmt.Fprintln(out, "the entry was known committed here")
	} else {
		fmt.Fprintln(out, "whether the entry was committed is not known here: "+
			"another disk may hold a newer one, or none took it")
	}
	for _, voter := range hardState.Last.Voters {
		fmt.Fprintf(out, "  voter %s at %s\n", voter.ID, voter.Addr)
	}
	return nil
}

func stateExport(args []string, out io.Writer) error {
	folder, file := args[0], args[1]
	hardState, found, err := store.Inspect(folder)
	if err != nil {
		return err
	}
	if !found {
		return fmt.Errorf("%s: nothing was ever kept there", folder)
	}
	raw, err := cbor.Marshal(exportFile{exportFormat, hardState.Last, hardState.Term})
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	fmt.Fprintf(out, "entry %d of term %d is in %s; of several disks' exports the one with the highest term, "+
		"then entry, is the newest\n", hardState.Last.Index, hardState.Last.Term, file)
	return nil
}

// stateImport writes an export to the disk of a machine of a new core.
func stateImport(args []string, out io.Writer) (err error) {
	file, folder, addr, voters := args[0], args[1], args[2], args[3:]
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var export exportFile
	if err := cbor.Unmarshal(raw, &export); err != nil || export.Format != exportFormat {
		return fmt.Errorf("%s is no export of a core", file)
	}
	disk, _, found, err := store.Open(folder)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := disk.Close(); err == nil {
			err = closeErr
		}
	}()
	if found {
		return fmt.Errorf("%s is not empty: a restore goes to an empty folder only", folder)
	}
	hardState := consensus.Restore(addr, voters, export.Entry, max(export.Term, export.Entry.Term)+termIncrement)
	if hardState.ID == "" {
		return fmt.Errorf("%s is not among the voters", addr)
	}
	if err := disk.Save(&hardState); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s begins as voter %s with term %d; start it with init=false once all voters are restored\n",
		addr, hardState.ID, hardState.Term)
	return warnOfLaterChanges(&export, out)
}

// warnOfLaterChanges prints which changes are lost by a restore: those that were acknowledged after the exported
// version. A client that retries one of them gets the restored version and has to base the change on it.
func warnOfLaterChanges(export *exportFile, out io.Writer) error {
	var state config.State
	if len(export.Entry.Value) > 0 {
		if err := cbor.Unmarshal(export.Entry.Value, &state); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "configuration %d will be in place: changes that were acknowledged after it are given up, "+
		"and are to be made again on it\n", state.Version)
	return nil
}
