package directory

import "slices"

// Diff gives the drivers of after that are not in before as they are, in after's order, and the names of those of
// before that are not in after, sorted.
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

// ApplyDiff gives a list of drivers with the changes of Diff, sorted by name. The list itself is not changed.
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
