// Command teaselrackd is the daemon that runs next to a target. With the control
// role in its settings it is also a control replica.
package main

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/teaselrack/teaselrack/internal/process/daemon"
	"github.com/teaselrack/teaselrack/internal/process/logging"
	"github.com/teaselrack/teaselrack/internal/process/settings"
	"github.com/teaselrack/teaselrack/platform"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	o, err := parse(os.Args[1:])
	if err != nil {
		os.Exit(exitUsage)
	}
	if o == nil {
		return
	}
	if err := serve(o); err != nil {
		fmt.Fprintln(os.Stderr, "teaselrackd:", err)
		os.Exit(exitFailed)
	}
}

// parse reads the command line. It returns nil options if help was requested. Before
// it returns an error, the message has been written to standard error.
func parse(args []string) (*options, error) {
	o := new(options)
	_, err := flags.ParseArgs(o, args)
	var usage *flags.Error
	if errors.As(err, &usage) && usage.Type == flags.ErrHelp {
		return nil, nil
	}
	if err == nil && o.Settings == "" && !o.Platform {
		fmt.Fprintln(os.Stderr, "the required flag `-s, --settings' was not specified")
		return nil, errUsage
	}
	return o, err
}

var errUsage = errors.New("no settings file given")

// servePlatform runs the process with the settings written by the platform.
func servePlatform() error {
	out := logging.NewWriter(os.Stdout)
	defer func() { _ = out.Close() }()
	log := logging.New(out, zapcore.InfoLevel)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return platform.Run(ctx, platform.Path(), log)
}

func serve(o *options) error {
	if o.Platform {
		return servePlatform()
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		return err
	}
	if o.Check {
		fmt.Println("the settings are valid")
		return nil
	}
	tuneMemory(s)
	log, err := newLogger(s.Log)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	d, err := daemon.New(s, log.With(zap.String("instance", s.Instance)))
	if err != nil {
		return err
	}
	expvar.Publish("teaselrack", d.Vars())
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return d.Run(ctx)
}
