// Package operator reads and prints the operators' file, which holds the settings of an installation beside the
// platform's own configuration, in HCL. It defines the names, types, defaults and limits of all settings; other
// packages apply them.
//
// # The shape of the package
//
// A File has one struct for each block. A block's method attributes lists its attributes once, each bound to a field,
// with its name, default, limits and printed form. Reading (reader.attributes) and printing (printBlock) both use that
// list, in printing order. Checks beyond single values, such as required attributes, are in the block's method of
// reader.
//
// # Invariants
//
// An unknown name is an error. All problems of a file are reported together, each with its position. A file with a
// problem has no effect: Parse then returns the default. The printed form of a File is parsed as the same File.
//
// Migrate converts a file for a deployment without communication between drivers.
package operator
