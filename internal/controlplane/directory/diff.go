package directory

import "slices"

// Diff returns the drivers of after that are new or changed since before, in after's order, and the names of the
// drivers of before that are not in after, sorted.
func Diff(before, after []Driver) (joined []Driver, departed []string) {
	remaining := map[string]Driver{}
	for _, d := range before {
		remaining[d.Name] = d
	}
	for _, d := range after {
		if remaining[d.Name] != d {
			joined = append(joined, d)
		}
		delete(remaining, d.Name)
	}
	for name := range remaining {
		departed = append(departed, name)
	}
	slices.Sort(departed)
	return joined, departed
}

// ApplyDiff returns a list of drivers with the changes found by Diff applied, sorted by name. It doesn't modify the
// given list.
func ApplyDiff(drivers, joined []Driver, departed []string) []Driver {
	replaced := make(map[string]bool, len(joined)+len(departed))
	for _, d := range joined {
		replaced[d.Name] = true
	}
	for _, name := range departed {
		replaced[name] = true
	}
	out := slices.DeleteFunc(slices.Clone(drivers), func(d Driver) bool { return replaced[d.Name] })
	out = append(out, joined...)
	slices.SortFunc(out, byName)
	return out
}
