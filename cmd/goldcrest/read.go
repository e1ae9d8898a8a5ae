package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"goldcrestfork/config"
	"goldcrestfork/router/operator"
	"goldcrestfork/router/operator/client"
)

// objectArgs holds the arguments that name an object.
type objectArgs struct {
	Kind string `arg:"" enum:"client-account,model-version,roll-out,data-centre,endpoint,service" help:"client-account, model-version, roll-out, data-centre, endpoint or service."`
	Name string `arg:"" help:"The object's name."`
}

// readFlags holds the flags of commands that read objects.
type readFlags struct {
	MinRevision int64 `placeholder:"N" help:"Wait until the VM has this revision, as given by a change."`
}

// read gets a path from one of the VMs and decodes the JSON answer.
func (a *app) read(path string, minRevision int64, into any) error {
	if len(a.client.VMs) == 0 {
		return errNoVM
	}
	data, err := a.client.Read(a, path, minRevision)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

func (a *app) printJSON(v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func indent(text []byte) string {
	var b bytes.Buffer
	if err := json.Indent(&b, text, "", "  "); err != nil {
		return string(text)
	}
	return b.String()
}

type get struct {
	readFlags
	objectArgs
}

// Run prints one object in the format of configuration files, after a line with the revision.
func (c *get) Run(a *app) error {
	var answer operator.Answer
	if err := a.read(objectPath(config.Kind(c.Kind), c.Name), c.MinRevision, &answer); err != nil {
		return err
	}
	if a.commands.JSON {
		return a.printJSON(answer)
	}
	fmt.Fprintf(a.out, "// at revision %d\n%s\n", answer.Revision, indent(answer.Objects[0]))
	return nil
}

type list struct {
	readFlags
	Kind     string `arg:"" enum:"client-account,model-version,roll-out,data-centre,endpoint,service" help:"client-account, model-version, roll-out, data-centre, endpoint or service."`
	Selector string `placeholder:"KEY=VALUE" help:"Only objects with these labels: key=value|value,key=value."`
}

// Run lists objects with their revision, state and labels, one per line.
func (c *list) Run(a *app) error {
	var answer operator.Answer
	path := "/v1/" + c.Kind + "?selector=" + url.QueryEscape(c.Selector)
	if err := a.read(path, c.MinRevision, &answer); err != nil {
		return err
	}
	if a.commands.JSON {
		return a.printJSON(answer)
	}
	w := tabwriter.NewWriter(a.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tREVISION\tSTATE\tLABELS")
	for _, text := range answer.Objects {
		var row struct {
			config.Meta
			State string `json:"state"`
		}
		if err := json.Unmarshal(text, &row); err != nil {
			return err
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", row.Name, row.Revision, row.State, formatLabels(row.Labels))
	}
	return w.Flush()
}

func formatLabels(labels map[string]string) string {
	var terms []string
	for key, value := range labels {
		terms = append(terms, key+"="+value)
	}
	slices.Sort(terms)
	var b bytes.Buffer
	for i, term := range terms {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(term)
	}
	return b.String()
}

type inForce struct {
	Revision int64 `placeholder:"N" help:"Revision asked for; the VM's own by default."`
	Wait     bool  `help:"Ask until it is in force on all VMs."`
}

// pollInterval is the time between two queries of in-force --wait. A change takes
// about a second to reach all VMs.
const pollInterval = 500 * time.Millisecond

// Run prints on how many VMs a revision is in force. With --wait it queries a VM
// until the revision is in force on all VMs or the command's timeout has passed.
func (c *inForce) Run(a *app) error {
	for {
		path := "/v1/in-force"
		if c.Revision > 0 {
			path += "?revision=" + strconv.FormatInt(c.Revision, 10)
		}
		var f config.InForce
		if err := a.read(path, 0, &f); err != nil {
			return err
		}
		if !c.Wait || f.Everywhere() {
			return c.print(a, f)
		}
		c.Revision = f.Revision
		select {
		case <-time.After(pollInterval):
		case <-a.Done():
			_ = c.print(a, f)
			return fmt.Errorf("revision %d is not in force everywhere yet", f.Revision)
		}
	}
}

func (c *inForce) print(a *app, f config.InForce) error {
	if a.commands.JSON {
		return a.printJSON(f)
	}
	fmt.Fprintf(a.out, "revision %d is in force on %d of %d VMs\n", f.Revision, f.Reached, f.Total)
	for _, vm := range f.Behind {
		fmt.Fprintln(a.out, "behind:", vm)
	}
	for _, vm := range f.Silent {
		fmt.Fprintln(a.out, "not heard:", vm)
	}
	return nil
}

type bills struct {
	Account string `placeholder:"NAME" help:"Client account; all by default."`
	Day     string `required:"" placeholder:"2026-01-31" help:"Day, in UTC."`
}

// Run prints the bills of a day.
func (c *bills) Run(a *app) error {
	var rows []operator.Bill
	query := url.Values{"account": {c.Account}, "day": {c.Day}}
	if err := a.read("/v1/bills?"+query.Encode(), 0, &rows); err != nil {
		return err
	}
	if a.commands.JSON {
		return a.printJSON(rows)
	}
	w := tabwriter.NewWriter(a.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "ACCOUNT\tVERSION\tREQUESTS\tINPUT TOKENS\tOUTPUT TOKENS\tMICRO-UNITS")
	for _, b := range rows {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", b.Account, b.Version, b.Requests, b.InputTokens, b.OutputTokens, b.Micros)
	}
	return w.Flush()
}

type state struct{}

// Run prints the state dump of each given VM. A VM that doesn't answer doesn't stop
// the output of the others; Run returns the last error.
func (c *state) Run(a *app) error {
	if len(a.client.VMs) == 0 {
		return errNoVM
	}
	var failed error
	for _, vm := range a.client.VMs {
		one := client.Client{VMs: []string{vm}, Key: a.client.Key, HTTP: a.client.HTTP}
		data, err := one.Read(a, "/state", 0)
		if err != nil {
			fmt.Fprintf(a.err, "goldcrest: %s: %v\n", vm, err)
			failed = err
			continue
		}
		if !a.commands.JSON {
			fmt.Fprintf(a.out, "// %s\n", vm)
		}
		fmt.Fprintln(a.out, indent(data))
	}
	return failed
}
