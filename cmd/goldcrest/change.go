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

// changeFlags holds the flags of all commands that change the configuration.
type changeFlags struct {
	IfRevision int64  `placeholder:"N" help:"Only if the object was last changed at this revision."`
	ChangeID   string `placeholder:"ID" help:"Find out what became of an earlier attempt; with --since."`
	Since      int64  `placeholder:"N" help:"The revision given with the change id."`
}

// sendChange sends a change to the VMs and prints its revision and warnings.
func (c *changeFlags) sendChange(a *app, method, path string, body []byte) error {
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

// invoke requests an action on one object. An empty reason is not sent.
func (c *changeFlags) invoke(a *app, kind config.Kind, name string, action config.Action, reason string) error {
	path := objectPath(kind, name) + "/" + string(action)
	if reason != "" {
		path += "?reason=" + url.QueryEscape(reason)
	}
	return c.sendChange(a, http.MethodPost, path, nil)
}

func objectPath(kind config.Kind, name string) string {
	return "/v1/" + string(kind) + "/" + url.PathEscape(name)
}

type apply struct {
	changeFlags
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
	return c.sendChange(a, http.MethodPost, "/v1/apply", body)
}

type remove struct {
	changeFlags
	objectArgs
}

// Run deletes an object.
func (c *remove) Run(a *app) error {
	return c.sendChange(a, http.MethodDelete, objectPath(config.Kind(c.Kind), c.Name), nil)
}

type label struct {
	changeFlags
	objectArgs
	Labels []string `arg:"" help:"key=value sets a label, key- removes it."`
}

// Run sets and removes labels.
func (c *label) Run(a *app) error {
	labels := make(map[string]*string)
	for _, text := range c.Labels {
		key, value, ok := strings.Cut(text, "=")
		switch removedKey, isRemoval := strings.CutSuffix(text, "-"); {
		case ok:
			labels[key] = &value
		case isRemoval:
			labels[removedKey] = nil
		default:
			return config.Problems{{Field: "labels", Got: text, Want: "key=value or key-"}}
		}
	}
	body := new(bytes.Buffer)
	if err := json.NewEncoder(body).Encode(labels); err != nil {
		return err
	}
	return c.sendChange(a, http.MethodPatch, objectPath(config.Kind(c.Kind), c.Name)+"/labels", body.Bytes())
}

type withdraw struct {
	changeFlags
	Version string `arg:"" help:"Model version."`
}

// Run withdraws a model version.
func (c *withdraw) Run(a *app) error {
	return c.invoke(a, config.KindVersion, c.Version, config.ActionWithdraw, "")
}

type serve struct {
	changeFlags
	Version string `arg:"" help:"Model version."`
}

// Run makes a withdrawn model version available for new work again.
func (c *serve) Run(a *app) error {
	return c.invoke(a, config.KindVersion, c.Version, config.ActionServe, "")
}

type drainTarget struct {
	changeFlags
	Name     string `arg:"" help:"Data centre, or endpoint with --endpoint."`
	Endpoint bool   `help:"The name is an endpoint's."`
}

func (c *drainTarget) kind() config.Kind {
	if c.Endpoint {
		return config.KindEndpoint
	}
	return config.KindDataCentre
}

type drain struct{ drainTarget }

// Run takes a data centre or an endpoint out of service.
func (c *drain) Run(a *app) error { return c.invoke(a, c.kind(), c.Name, config.ActionDrain, "") }

type takeBack struct{ drainTarget }

// Run takes a data centre or an endpoint back into service.
func (c *takeBack) Run(a *app) error { return c.invoke(a, c.kind(), c.Name, config.ActionTakeBack, "") }

type rollOut struct {
	Start    start    `cmd:"" help:"Start a roll-out from its first step, also after it was rolled back."`
	Pause    pause    `cmd:"" help:"Hold a roll-out at its step."`
	Resume   resume   `cmd:"" help:"Go on from the step at which a roll-out was paused."`
	RollBack rollBack `cmd:"" name:"roll-back" help:"Send all new work to the old version again."`
}

type rollOutAction struct {
	changeFlags
	Name   string `arg:"" help:"Roll-out."`
	Reason string `help:"Why; kept with the roll-out."`
}

type (
	start    struct{ rollOutAction }
	pause    struct{ rollOutAction }
	resume   struct{ rollOutAction }
	rollBack struct{ rollOutAction }
)

// Run starts a roll-out.
func (c *start) Run(a *app) error {
	return c.invoke(a, config.KindRollOut, c.Name, config.ActionStart, c.Reason)
}

// Run pauses a roll-out.
func (c *pause) Run(a *app) error {
	return c.invoke(a, config.KindRollOut, c.Name, config.ActionPause, c.Reason)
}

// Run resumes a roll-out.
func (c *resume) Run(a *app) error {
	return c.invoke(a, config.KindRollOut, c.Name, config.ActionResume, c.Reason)
}

// Run sends all new work of a roll-out to the old version again.
func (c *rollBack) Run(a *app) error {
	return c.invoke(a, config.KindRollOut, c.Name, config.ActionRollBack, c.Reason)
}

type restore struct{}

// Run asks the first VM to write its configuration back to the platform. Run does
// not try the other VMs, because the operator decides whose configuration is restored.
func (c *restore) Run(a *app) error {
	if len(a.client.VMs) == 0 {
		return errNoVM
	}
	a.client.VMs = a.client.VMs[:1]
	return (&changeFlags{}).sendChange(a, http.MethodPost, "/v1/restore", nil)
}
