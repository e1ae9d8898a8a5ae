package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"goldcrestfork/config"
	"goldcrestfork/router/answer"
	"goldcrestfork/router/operator"
	"goldcrestfork/router/operator/client"
)

// Exit codes of the command. The package comment describes them.
const (
	exitOK = iota
	exitFailed
	exitRefused
	exitConflict
	exitNotAccepted
	exitUnknown
	exitNotFound
	exitUnauthorized
)

// callTimeout limits one call. It exceeds the 16 s after which the API itself ends a wait.
const callTimeout = 20 * time.Second

// transport reads answers of VMs, whose heads are short.
var transport = answer.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment, MaxResponseHeaderBytes: 64 << 10})

// commands defines the flags and commands of the command line.
type commands struct {
	VM      []string      `env:"GOLDCREST_VM" placeholder:"IP:PORT" help:"Operator address of a VM, or a URL; several are tried in their order."`
	Key     string        `env:"GOLDCREST_KEY" placeholder:"KEY" help:"The operator's key; better given in the environment."`
	JSON    bool          `help:"Print JSON."`
	Timeout time.Duration `default:"60s" help:"How long to go on, asking what became of a change included."`

	CheckSettings checkSettings `cmd:"" help:"Check a daemon's settings file."`
	CheckConfig   checkConfig   `cmd:"" help:"Check configuration files as a whole."`
	Certificates  certificates  `cmd:"" help:"Make a set of peer certificates for a trial."`

	Get  get  `cmd:"" help:"Show one object."`
	List list `cmd:"" help:"List the objects of a kind."`

	Apply    apply    `cmd:"" help:"Create or replace the objects in files, as one change."`
	Delete   remove   `cmd:"" help:"Delete one object."`
	Label    label    `cmd:"" help:"Set labels (key=value) and remove them (key-)."`
	Withdraw withdraw `cmd:"" help:"Keep a model version from all new work."`
	Serve    serve    `cmd:"" help:"Let a withdrawn model version take work again."`
	Drain    drain    `cmd:"" help:"Take a data centre out."`
	TakeBack takeBack `cmd:"" help:"Take a data centre back."`
	RollOut  rollOut  `cmd:"" name:"roll-out" help:"Drive a roll-out."`

	Restore restore `cmd:"" help:"Write the configuration in force back to a platform that holds an older one."`

	InForce inForce `cmd:"" name:"in-force" help:"Show on how many VMs a revision is in force."`
	Bills   bills   `cmd:"" help:"Show the bills of a day."`
	State   state   `cmd:"" help:"Show the state of each VM named."`

	Explain  explainRequest `cmd:"" help:"Say from goldcrest-node's logs what became of a request, and why."`
	Sessions sessionMoves   `cmd:"" help:"List from the logs of all VMs the requests that ran on another version than the one before in their session."`
}

// app holds the context, the flags, the client and the output streams of a command.
type app struct {
	context.Context
	commands *commands
	client   client.Client
	out, err io.Writer
}

// run executes one command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	cli := new(commands)
	parser := kong.Must(cli, kong.Name("goldcrest"), kong.Writers(out, errOut),
		kong.Description("Operators' command line of goldcrestfork.\n\nExit codes: 0 done; 1 failed; 2 wrong usage or input refused; "+
			"3 the object changed meanwhile; 4 not accepted; 5 unknown whether accepted; 6 no such object or request; 7 key refused."))
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, "goldcrest:", err)
		return exitRefused
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, cli.Timeout)
	defer cancel()
	a := &app{Context: ctx, commands: cli, out: out, err: errOut,
		client: client.Client{VMs: baseURLs(cli.VM), Key: cli.Key, HTTP: &http.Client{Timeout: callTimeout, Transport: transport}}}
	if err := parsed.Run(a); err != nil {
		a.printError(err)
		return exitCode(err)
	}
	return exitOK
}

// baseURLs returns the base URLs of VMs that are given as "ip:port" or as URLs.
func baseURLs(vms []string) []string {
	var all []string
	for _, vm := range vms {
		if !strings.Contains(vm, "://") {
			vm = "http://" + vm
		}
		all = append(all, strings.TrimSuffix(vm, "/"))
	}
	return all
}

// errNoVM is returned by a command that needs a VM when none is given.
var errNoVM = config.Problems{{Field: "--vm", Got: "nothing", Want: "the operator address of at least one VM, or GOLDCREST_VM"}}

// printError prints an error. For a problem from a VM it also prints that the change was
// not accepted, if this is certain, and the object's current state, if the VM sent it.
func (a *app) printError(err error) {
	var p *operator.Problem
	if !errors.As(err, &p) {
		fmt.Fprintln(a.err, "goldcrest:", err)
		return
	}
	if errors.Is(err, client.ErrOutcomeUnknown) {
		fmt.Fprintln(a.err, "goldcrest:", err)
		return
	}
	fmt.Fprintf(a.err, "goldcrest: %s: %s\n", p.Code, p.Detail)
	if p.Accepted == operator.AcceptedNo {
		fmt.Fprintln(a.err, "The change was not accepted; nothing is changed.")
	}
	if p.Current != nil {
		fmt.Fprintf(a.err, "The object now:\n%s\n", indent(p.Current))
	}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var problems config.Problems
	var p *operator.Problem
	switch {
	case errors.Is(err, client.ErrOutcomeUnknown):
		return exitUnknown
	case errors.As(err, &problems):
		return exitRefused
	case errors.As(err, &p):
		return problemExitCode(p)
	case errors.Is(err, client.ErrUnreachable):
		return exitNotAccepted
	case errors.Is(err, errNoRequest):
		return exitNotFound
	}
	return exitFailed
}

func problemExitCode(p *operator.Problem) int {
	switch p.Code {
	case operator.CodeInvalid, operator.CodeBadRequest, operator.CodeBodyTooLarge:
		return exitRefused
	case operator.CodeConflict:
		return exitConflict
	case operator.CodeNotFound, operator.CodeNoSuchPath:
		return exitNotFound
	case operator.CodeUnauthorized:
		return exitUnauthorized
	}
	if p.Accepted == operator.AcceptedNo {
		return exitNotAccepted
	}
	return exitFailed
}
