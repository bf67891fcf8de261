//go:build race

package fleet

func init() { flags = append(flags, "-race") }
