// Package operator reads and prints the operators' file: what an installation switches on beside the platform's own
// configuration, in HCL. It owns the names, types, defaults and limits of all settings, and acts on none.
//
// # The shape of the package
//
// A File has one struct for each block. The method attributes of a block lists its attributes once, each bound to a
// field: its name, default, limits and printed form. Reading (reader.attributes) and printing (printBlock) both go by
// that list, in the order in which a file is printed. What goes beyond single values, such as an attribute that is
// required, is checked by the block's method of reader.
//
// # Invariants
//
// A name that the package does not know is an error. All problems of a file are reported at once, each with its
// position, and a file with a problem has no effect at all: Parse then returns the default. The printed form of a
// File is read back as the same File.
//
// Migrate gives a file's counterpart for a deployment whose drivers share nothing.
package operator
