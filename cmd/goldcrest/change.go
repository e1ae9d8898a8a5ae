package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"goldcrestfork/config"
	"goldcrestfork/router/operator/client"
)

// changing are the flags of all commands that change something.
type changing struct {
	IfRevision int64  `placeholder:"N" help:"Only if the object was last changed at this revision."`
	ChangeID   string `placeholder:"ID" help:"Find out what became of an earlier attempt; with --since."`
	Since      int64  `placeholder:"N" help:"The revision given with the change id."`
}

// do makes a change and prints what became of it.
func (c *changing) do(a *app, method, path string, body []byte) error {
	if len(a.client.VMs) == 0 {
		return errNoVM
	}
	answer, err := a.client.Do(a, client.Change{Method: method, Path: path, Body: body, IfRevision: c.IfRevision, ID: c.ChangeID, Since: c.Since})
	if err != nil {
		return err
	}
	if a.commands.JSON {
		return a.printJSON(answer)
	}
	fmt.Fprintf(a.out, "accepted at revision %d\n", answer.Revision)
	for _, w := range answer.Warnings {
		fmt.Fprintln(a.err, "warning:", w)
	}
	return nil
}

// act asks for an action on one object.
func (c *changing) act(a *app, kind config.Kind, name string, action config.Action, reason string) error {
	path := objectPath(kind, name) + "/" + string(action)
	if reason != "" {
		path += "?reason=" + url.QueryEscape(reason)
	}
	return c.do(a, http.MethodPost, path, nil)
}

func objectPath(kind config.Kind, name string) string {
	return "/v1/" + string(kind) + "/" + url.PathEscape(name)
}

type apply struct {
	changing
	Files []string `arg:"" type:"existingfile" help:"Files of objects. An object with a revision is replaced only if it is still at that revision."`
}

// Run sends the objects of all files as one change.
func (c *apply) Run(a *app) error {
	objects, err := readObjects(c.Files)
	if err != nil {
		return err
	}
	texts := make([]json.RawMessage, len(objects))
	for i, o := range objects {
		if texts[i], err = config.Marshal(o); err != nil {
			return err
		}
	}
	body, err := json.Marshal(texts)
	if err != nil {
		return err
	}
	return c.do(a, http.MethodPost, "/v1/apply", body)
}

type remove struct {
	changing
	named
}

// Run deletes an object.
func (c *remove) Run(a *app) error {
	return c.do(a, http.MethodDelete, objectPath(config.Kind(c.Kind), c.Name), nil)
}

type label struct {
	changing
	named
	Labels []string `arg:"" help:"key=value sets a label, key- removes it."`
}

// Run sets and removes labels.
func (c *label) Run(a *app) error {
	labels := make(map[string]*string)
	for _, text := range c.Labels {
		key, value, ok := strings.Cut(text, "=")
		switch bare, minus := strings.CutSuffix(text, "-"); {
		case ok:
			labels[key] = &value
		case minus:
			labels[bare] = nil
		default:
			return config.Problems{{Field: "labels", Got: text, Want: "key=value or key-"}}
		}
	}
	body := new(bytes.Buffer)
	if err := json.NewEncoder(body).Encode(labels); err != nil {
		return err
	}
	return c.do(a, http.MethodPatch, objectPath(config.Kind(c.Kind), c.Name)+"/labels", body.Bytes())
}

type withdraw struct {
	changing
	Version string `arg:"" help:"Model version."`
}

// Run withdraws a model version.
func (c *withdraw) Run(a *app) error {
	return c.act(a, config.KindVersion, c.Version, config.ActionWithdraw, "")
}

type serve struct {
	changing
	Version string `arg:"" help:"Model version."`
}

// Run lets a model version take work again.
func (c *serve) Run(a *app) error {
	return c.act(a, config.KindVersion, c.Version, config.ActionServe, "")
}

type place struct {
	changing
	Name     string `arg:"" help:"Data centre, or endpoint with --endpoint."`
	Endpoint bool   `help:"The name is an endpoint's."`
}

func (c *place) kind() config.Kind {
	if c.Endpoint {
		return config.KindEndpoint
	}
	return config.KindDataCentre
}

type drain struct{ place }

// Run takes a data centre or an endpoint out.
func (c *drain) Run(a *app) error { return c.act(a, c.kind(), c.Name, config.ActionDrain, "") }

type takeBack struct{ place }

// Run takes a data centre or an endpoint back.
func (c *takeBack) Run(a *app) error { return c.act(a, c.kind(), c.Name, config.ActionTakeBack, "") }

type rollOut struct {
	Start    start    `cmd:"" help:"Start a roll-out from its first step, also after it was rolled back."`
	Pause    pause    `cmd:"" help:"Hold a roll-out at its step."`
	Resume   resume   `cmd:"" help:"Go on from the step at which a roll-out was paused."`
	RollBack rollBack `cmd:"" name:"roll-back" help:"Send all new work to the old version again."`
}

type rollOutStep struct {
	changing
	Name   string `arg:"" help:"Roll-out."`
	Reason string `help:"Why; kept with the roll-out."`
}

type (
	start    struct{ rollOutStep }
	pause    struct{ rollOutStep }
	resume   struct{ rollOutStep }
	rollBack struct{ rollOutStep }
)

// Run starts a roll-out.
func (c *start) Run(a *app) error {
	return c.act(a, config.KindRollOut, c.Name, config.ActionStart, c.Reason)
}

// Run pauses a roll-out.
func (c *pause) Run(a *app) error {
	return c.act(a, config.KindRollOut, c.Name, config.ActionPause, c.Reason)
}

// Run resumes a roll-out.
func (c *resume) Run(a *app) error {
	return c.act(a, config.KindRollOut, c.Name, config.ActionResume, c.Reason)
}

// Run rolls a roll-out back.
func (c *rollBack) Run(a *app) error {
	return c.act(a, config.KindRollOut, c.Name, config.ActionRollBack, c.Reason)
}

type restore struct{}

// Run asks the first VM to write its configuration back. It is not tried on
// others: which VM's configuration is restored is for the operator to say.
func (c *restore) Run(a *app) error {
	if len(a.client.VMs) == 0 {
		return errNoVM
	}
	a.client.VMs = a.client.VMs[:1]
	return (&changing{}).do(a, http.MethodPost, "/v1/restore", nil)
}
