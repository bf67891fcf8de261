// Package experiment runs the scenarios of a file in the emulator, with several variants, sizes, seeds and faults. It
// stores the results, compares them and draws charts of them.
//
// A file in HCL (file.go) is expanded into plans, one for each combination of variant, number of drivers, load and
// seed. A Runner (run.go) runs the plans that have no result yet and stores a Parquet row for each (results.go). The
// file name of a row is a hash of the build's name, the setup and the scenario, so that an interrupted experiment
// resumes where it stopped. compare.go pairs runs of the same seed and decides which differences are significant;
// charts.go and page.go draw rows on an HTML page.
package experiment
