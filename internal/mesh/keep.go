package mesh

// This file owns what of a driver's votes outlives its process. It must never say that something is kept before it is on
// disk.

import (
	"fmt"

	"weirwind/internal/durable"
	"weirwind/internal/membership"
)

const (
	keepTag   = "VOTE"
	keepLimit = 8 << 20 // bytes
)

type keeper struct{ store *durable.Store }

// openKeeper recovers what an earlier process kept. A folder that has lost records is an error: a vote may have been among
// them, and operators are to say that it is begun anew, by moving the folder away.
func openKeeper(folder string) (*keeper, *membership.Kept, error) {
	store, found, err := durable.Open(durable.OS{}, durable.Options{Folder: folder, Tag: keepTag, Limit: keepLimit})
	if err != nil {
		return nil, nil, fmt.Errorf("folder: %v", err)
	}
	last := found.Snapshot
	if n := len(found.Records); n > 0 {
		last = found.Records[n-1]
	}
	var kept *membership.Kept
	switch {
	case found.Lost:
		err = fmt.Errorf("folder: %s has lost records; move it away to begin anew", folder)
	case len(last) > 0:
		kept = &membership.Kept{}
		if err = decoder.Unmarshal(last, kept); err != nil {
			err = fmt.Errorf("folder: %s: %v", folder, err)
		}
	}
	if err == nil {
		err = store.Compact(last)
	}
	if err != nil {
		store.Close()
		return nil, nil, err
	}
	return &keeper{store}, kept, nil
}

// save returns when what is given is on disk.
func (k *keeper) save(x *membership.Kept) error {
	b, err := encoder.Marshal(x)
	if err != nil {
		return err
	}
	if err = k.store.Append(b); err != nil || k.store.Due() { // a generation begun anew takes records again
		return k.store.Compact(b)
	}
	return nil
}
