// Package experiment runs scenarios in the emulator by a file: variants, sizes, seeds and faults, side by side. It
// keeps the results, compares them and draws them.
//
// A file in HCL (file.go) is expanded into plans, one for each combination of variant, number of drivers, load and
// seed.
// A Runner (run.go) runs the plans that have no result yet and keeps a row of Parquet for each (results.go): a name of
// the build, the setup and the scenario makes the row's file name, so that a run that was interrupted goes on where it
// was. compare.go pairs runs of the same seed and decides which differences chance does not explain; charts.go and
// page.go draw rows on an HTML page.
package experiment
