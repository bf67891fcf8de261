// Package process has the main function that all programs of the system share: command line, settings and signals.
//
// A program of the system is a Role and a main function that calls Main. SIGTERM and SIGINT cancel the role's context,
// on which it shuts down gracefully; SIGHUP reads and checks the settings file again.
package process

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"github.com/samber/oops"

	"weirwind/internal/util/events"
	"weirwind/internal/util/metrics"
	"weirwind/internal/util/settings"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2 // the command line is wrong
)

const maxPort = 65535

// gcPercent is the GOGC value: the heap's growth between two collections, in percent.
const gcPercent = 60

// memoryLimit returns the Go runtime's soft memory limit in bytes: seven tenths of the machine's limit. The rest is for
// the binary and the kernel's buffers.
func memoryLimit(set *settings.Settings) int64 { return int64(set.MemoryMB) << 20 * 7 / 10 }

// Role is a program of the system.
type Role struct {
	Name    string
	Summary string // one line for the usage
	// Check returns an error if valid settings lack something that the role needs; nil if it needs nothing more.
	Check func(*settings.Settings) error
	// ServesMetrics is set if Run registers the process's metrics with package metrics.
	ServesMetrics bool
	// Run serves until the context is done, and then shuts down. An error means that it failed.
	Run func(context.Context, *settings.Settings, events.Log) error
}

// commandLine is a program's parsed arguments.
type commandLine struct {
	settingsFile string
	checkOnly    bool   // read and check the settings without running the role
	metrics      string // PORT/PATH at which metrics are served; "" if they are not
}

// Main runs a role's program and returns its exit code: 0 for a graceful shutdown, 1 for a failure, 2 for an invalid
// command line.
func Main(role Role, args []string, out io.Writer) int {
	line, code := parse(role, args, out)
	if line == nil {
		return code
	}
	log := events.New(os.Stderr, role.Name)
	set, err := load(line.settingsFile, role)
	if err != nil {
		log.Error(events.BadSettings, err)
		return exitFailure
	}
	if line.checkOnly {
		fmt.Fprintln(out, "the settings can be served with")
		return exitOK
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit(set))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	defer reloadOnHangup(line.settingsFile, role, log)()
	if port, path, ok := splitMetrics(line.metrics); ok {
		addr, uncancelled := net.JoinHostPort(set.IP, port), context.WithoutCancel(ctx)
		if err := metrics.Serve(uncancelled, addr, path, metrics.CollectRegistered); err != nil {
			log.Error(events.MetricsFailed, err) // the role runs without them
		}
	}
	if err := role.Run(ctx, set, log); err != nil {
		log.Error(events.Stopped, err)
		return exitFailure
	}
	return exitOK
}

// parse parses the command line. If there is nothing to run, line is nil and code is the program's exit code.
func parse(role Role, args []string, out io.Writer) (line *commandLine, code int) {
	line = &commandLine{}
	flags := flag.NewFlagSet(role.Name, flag.ContinueOnError)
	flags.SetOutput(out)
	flags.StringVar(&line.settingsFile, "settings", os.Getenv(settings.EnvVariable),
		"settings `file`; else the variable "+settings.EnvVariable+" names it")
	flags.BoolVar(&line.checkOnly, "check", false, "read and check the settings, and end")
	usage := "[-settings FILE] [-check]"
	if role.ServesMetrics {
		flags.StringVar(&line.metrics, "metrics", "", "`PORT/PATH` at which the process's own figures are served")
		usage += " [-metrics PORT/PATH]"
	}
	flags.Usage = func() {
		fmt.Fprintf(out, "%s: %s\n\nUsage: %s %s\n\n", role.Name, role.Summary, role.Name, usage)
		flags.PrintDefaults()
		fmt.Fprintln(out, "\nSIGHUP reads the settings again, SIGTERM ends in order. "+
			"The log, on standard error, has numbered events: docs/events.md.")
	}
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return nil, exitOK
		}
		return nil, exitUsage
	}
	if flags.NArg() > 0 || line.settingsFile == "" || !validMetrics(line.metrics) {
		flags.Usage()
		return nil, exitUsage
	}
	return line, exitOK
}

// splitMetrics splits PORT/PATH; ok is false if the text is malformed.
func splitMetrics(text string) (port, path string, ok bool) {
	port, path, found := strings.Cut(text, "/")
	n, err := strconv.Atoi(port)
	return port, path, found && err == nil && n > 0 && n <= maxPort && path != "" && !strings.ContainsAny(path, " {}")
}

// validMetrics reports whether a text is PORT/PATH, or empty.
func validMetrics(text string) bool {
	_, _, ok := splitMetrics(text)
	return ok || text == ""
}

// reloadOnHangup reads and checks the settings again at each SIGHUP, and logs the result; the settings in force do not
// change. The returned function stops this; later SIGHUPs are ignored, as the process is about to exit.
func reloadOnHangup(file string, role Role, log events.Log) (stop func()) {
	hangups, done := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-hangups:
				reload(file, role, log)
			}
		}
	}()
	return func() { close(done) }
}

func reload(file string, role Role, log events.Log) {
	set, err := load(file, role)
	if err != nil {
		log.Error(events.BadSettings, err)
		return
	}
	log.Event(events.Reloaded, "peers", set.Peers)
}

// load reads a settings file and checks that it has what a role needs.
func load(file string, role Role) (*settings.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, oops.In("settings").Wrap(err)
	}
	set, err := settings.Read(text)
	if err == nil && role.Check != nil {
		err = role.Check(set)
	}
	return set, err
}
