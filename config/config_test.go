package config

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Each row makes a valid configuration invalid in one way. Validate must name the field, else
// the operator can't correct it.
func TestValidateNamesTheField(t *testing.T) {
	require.Empty(t, Validate(smallSnapshot()))
	rows := []struct {
		name  string
		spoil func(*Snapshot)
		field string
		want  string
	}{
		{"selector matches nothing", func(s *Snapshot) { s.Accounts["baker"].Versions = Selector{"model": {"other"}} }, "versions", "matches at least one"},
		{"account without any version or service", func(s *Snapshot) { s.Accounts["baker"].Versions = nil }, "versions", "a selector"},
		{"service selector matches nothing", func(s *Snapshot) { s.Accounts["baker"].Services = Selector{"use": {"no"}} }, "services", "matches at least one"},
		{"key hash too short", func(s *Snapshot) { s.Accounts["baker"].KeyHashes = []string{"ab"} }, "keyHashes[0]", "64"},
		{"quality not a number", func(s *Snapshot) { s.Accounts["baker"].Quality = math.NaN() }, "quality", "0 to 1"},
		{"class unknown", func(s *Snapshot) { s.Accounts["baker"].Class = 7 }, "class", "deferrable"},
		{"roll-out over 100 per cent", func(s *Snapshot) { s.RollOuts["r1"].Steps = []float64{5, 120} }, "steps[1]", "at most 100"},
		{"roll-out steps not ascending", func(s *Snapshot) { s.RollOuts["r1"].Steps = []float64{50, 5, 100} }, "steps[1]", "above 50"},
		{"roll-out that never ends", func(s *Snapshot) { s.RollOuts["r1"].Steps = []float64{5, 50} }, "steps", "100 as the last"},
		{"roll-out step out of range", func(s *Snapshot) { s.RollOuts["r1"].Step = 3 }, "step", "0 to 2"},
		{"roll-out to another model", func(s *Snapshot) { s.Versions["asistente-2"].Model = "x" }, "to", `model "asistente"`},
		{"two roll-outs of a model", func(s *Snapshot) {
			r := *s.RollOuts["r1"]
			r.Name = "r2"
			s.put(&r)
		}, "model", "one roll-out under way"},
		{"version missing", func(s *Snapshot) { delete(s.Versions, "asistente-1") }, "versions[0]", "existing model-version"},
		{"data centre missing", func(s *Snapshot) { delete(s.DataCentres, "norte-a") }, "dataCentre", "existing data-centre"},
		{"host name as address", func(s *Snapshot) { s.Endpoints["e1"].Address = "host:9000" }, "address", "IP number"},
		{"port zero", func(s *Snapshot) { s.Endpoints["e1"].Address = "10.0.0.1:0" }, "address", "port above 0"},
		{"cold slots above slots", func(s *Snapshot) { s.Endpoints["e1"].ColdSlots = 9 }, "coldSlots", "1 to slots"},
		{"no slots", func(s *Snapshot) { s.Endpoints["e1"].Slots = 0 }, "slots", "1 to"},
		{"versions and service", func(s *Snapshot) { s.Endpoints["e1"].Service = "conector" }, "versions", "either"},
		{"address twice", func(s *Snapshot) {
			e := *s.Endpoints["e1"]
			e.Name = "e2"
			s.put(&e)
		}, "address", "of its own"},
		{"cascade in a circle", func(s *Snapshot) {
			s.Versions["asistente-1"].Cascade, s.Versions["asistente-2"].Cascade = "asistente-2", "asistente-1"
		}, "cascade", "end at one"},
		{"call twice", func(s *Snapshot) {
			c := s.Services["conector"]
			c.Calls = append(c.Calls, Call{Method: "GET", Path: "/till/"})
		}, "calls[1]", "once"},
		{"name in capitals", func(s *Snapshot) { s.put(&DataCentre{Meta: Meta{Name: "Norte"}, Region: "n", State: DataCentreIn}) }, "name", "lower-case"},
		{"state misspelt", func(s *Snapshot) { s.DataCentres["norte-a"].State = "off" }, "state", "in, out"},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			s := smallSnapshot()
			row.spoil(s)
			problems := Validate(s)
			require.NotEmpty(t, problems)
			found := false
			for _, p := range problems {
				found = found || p.Field == row.field && strings.Contains(p.Want, row.want)
			}
			require.True(t, found, "%v", Problems(problems))
		})
	}
}

// A bad version is the only one of an account. Its withdrawal must be accepted, since more
// requests to it would do greater harm; the operator gets a warning.
func TestWithdrawalOfOnlyVersionIsAccepted(t *testing.T) {
	s := smallSnapshot()
	s.Versions["asistente-1"].State, s.Versions["asistente-2"].State = VersionWithdrawn, VersionWithdrawn
	require.Empty(t, Validate(s))
	warnings := Problems(Warnings(s)).Error()
	require.Contains(t, warnings, "only withdrawn versions")
	require.Contains(t, warnings, "roll-out rolled back")
}

const goodObject = `// a data centre
[{
	"kind": "data-centre",
	"name": "floresti", // west of the city
	"region": "cluj",
	"state": "in",
}]`

func TestParseIsStrict(t *testing.T) {
	objects, err := Parse("dc.jsonc", []byte(goodObject))
	require.NoError(t, err)
	require.Equal(t, &DataCentre{Meta: Meta{Name: "floresti"}, Region: "cluj", State: DataCentreIn}, objects[0])

	rows := []struct{ name, old, new, want string }{
		{"misspelt field", `"region"`, `"regoin"`, `dc.jsonc:5: data-centre "floresti": regoin: an unknown field found; expected the field "region"`},
		{"field in other case", `"region"`, `"Region"`, `dc.jsonc:5: data-centre "floresti": Region: an unknown field found; expected the field "region"`},
		{"field missing", `"region": "cluj",`, ``, `dc.jsonc:2: data-centre "floresti": region: nothing found; expected the field to be given (a text)`},
		{"field twice", `"state": "in",`, `"state": "in", "state": "out",`, `dc.jsonc:6: data-centre "floresti": state: a second time found`},
		{"number for text", `"cluj"`, `7`, `dc.jsonc:5: data-centre "floresti": region: number found; expected a text`},
		{"null", `"cluj"`, `null`, `dc.jsonc:5: data-centre "floresti": region: null found`},
		{"unknown kind", `"data-centre"`, `"zone"`, `dc.jsonc:2: kind: "zone" found; expected one of data-centre`},
		{"no object", goodObject, `[3]`, `dc.jsonc:1: a number found; expected an object`},
		{"broken text", `"in",`, `"in" "`, `dc.jsonc:6: `},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			require.Contains(t, goodObject, row.old)
			_, err := Parse("dc.jsonc", []byte(strings.Replace(goodObject, row.old, row.new, 1)))
			require.ErrorContains(t, err, row.want)
		})
	}
	_, err = Parse("s.jsonc", []byte(`{"kind":"service","name":"x","calls":[{"method":"GET","path":"/","idempotant":true}]}`))
	require.ErrorContains(t, err, `calls[0].idempotant: an unknown field found; expected the field "idempotent"`)
	require.ErrorContains(t, err, `calls[0].idempotent: nothing found`)
	_, err = Parse("a.jsonc", []byte(`{"kind":"client-account","name":"x","keyHashes":[],"class":"urgent"}`))
	require.ErrorContains(t, err, "immediate, interactive, deferrable")
}

func TestEncodeRoundTrip(t *testing.T) {
	s := smallSnapshot()
	s.Revision = 7
	data, err := Encode(s)
	require.NoError(t, err)
	back, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, s, back)
	for n := range data {
		_, err := Decode(data[:n])
		require.ErrorIs(t, err, ErrFormat, "cut at %d", n)
	}
}

func TestMarshalIsReadByParse(t *testing.T) {
	s := smallSnapshot()
	for _, kind := range Kinds {
		for _, o := range s.List(kind, nil) {
			text, err := Marshal(o)
			require.NoError(t, err)
			back, err := Parse("f", text)
			require.NoError(t, err)
			require.Equal(t, []Object{o}, back)
		}
	}
}

// Each row is an operator's action on a roll-out. An action that the state does not permit must
// be refused with the permitted ones.
func TestRollOutActions(t *testing.T) {
	rows := []struct {
		from   RollOutState
		action Action
		to     RollOutState
		step   int
	}{
		{RollOutRunning, ActionPause, RollOutPaused, 1},
		{RollOutPaused, ActionResume, RollOutRunning, 1},
		{RollOutPaused, ActionStart, RollOutRunning, 0},
		{RollOutRunning, ActionRollBack, RollOutRolledBack, 1},
		{RollOutRolledBack, ActionStart, RollOutRunning, 0},
		{RollOutDone, ActionRollBack, RollOutRolledBack, 1},
		{RollOutRunning, ActionStart, "", 1},
		{RollOutDone, ActionPause, "", 1},
		{RollOutRolledBack, ActionResume, "", 1},
	}
	for _, row := range rows {
		s := smallSnapshot()
		r := s.RollOuts["r1"]
		r.State, r.Step = row.from, 1
		c, err := NewAction(KindRollOut, "r1", row.action, "seen errors")
		require.NoError(t, err)
		err = applyAll(s, []Change{c})
		if row.to == "" {
			require.ErrorContains(t, err, "a state that takes")
			continue
		}
		require.NoError(t, err)
		require.Equal(t, row.to, s.RollOuts["r1"].State)
		require.Equal(t, row.step, s.RollOuts["r1"].Step)
		require.Equal(t, "operator: seen errors", s.RollOuts["r1"].Reason)
	}
	_, err := NewAction(KindDataCentre, "norte-a", ActionPause, "")
	require.ErrorContains(t, err, "one of drain, take-back")
}

func TestCountInForce(t *testing.T) {
	f := CountInForce(5, []string{"a", "b", "c"}, map[string]int64{"a": 5, "b": 4, "d": 7})
	require.Equal(t, InForce{Revision: 5, Reached: 2, Total: 4, Behind: []string{"b"}, Silent: []string{"c"}}, f)
	require.False(t, f.Everywhere())
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(goodObject))
	f.Add([]byte(`{"kind":"service","calls":[{"method":1}],"labels":null}`))
	f.Add([]byte(`[{"kind":"roll-out","steps":{},"step":1e9}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		objects, err := Parse("f", data)
		if err != nil {
			require.IsType(t, Problems{}, err)
			return
		}
		s := &Snapshot{}
		for _, o := range objects {
			s.put(Clone(o))
		}
		Validate(s)
	})
}

func FuzzDecode(f *testing.F) {
	data, err := Encode(smallSnapshot())
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte("gcf"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Decode(data); err == nil {
			Validate(s)
		}
	})
}
