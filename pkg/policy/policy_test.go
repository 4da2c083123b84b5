package policy_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/pkg/policy"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestErrorsNameFileLineAndKey guards against an error without file, line or
// key. A comment "# ERROR text" states the error that its line must cause,
// "# ERRORS text" an error of the whole file, which has no line. There must be
// no other error.
func TestErrorsNameFileLineAndKey(t *testing.T) {
	files, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no test data: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			_, err = policy.Parse("F", string(text))
			got := ""
			if err != nil {
				got = err.Error()
			}
			want := 0
			for i, line := range strings.Split(string(text), "\n") {
				expected := ""
				if _, text, ok := strings.Cut(line, "# ERROR "); ok {
					expected = "F:" + strconv.Itoa(i+1) + ": " + text
				} else if _, text, ok := strings.Cut(line, "# ERRORS "); ok {
					expected = "F: " + text
				} else {
					continue
				}
				want++
				if !strings.Contains(got, expected) {
					t.Errorf("error %q does not contain %q", got, expected)
				}
			}
			if n := strings.Count(got, "F:"); n != want {
				t.Errorf("%d errors, want %d: %s", n, want, got)
			}
		})
	}
}

const groupsAndRanks = `
[[database_group]]
name = "orders"
members = 3
labels = { tier = "orders" }
[[database_group]]
name = "menus"
members = 3
[[traffic_rank]]
name = "urgent"
order = 0
labels = { work = "orders" }
[[traffic_rank]]
name = "normal"
order = 1
default = true
`

// TestEffective guards against wrong defaults, policies that override each other
// in the wrong order and selectors that miss the name label, in a parsed Config
// and in one without an index.
func TestEffective(t *testing.T) {
	defaults := policy.Effective{
		Deadline: 5 * time.Second, QueueLimit: 64, ReplicaReads: true, PositionWait: 20 * time.Millisecond, RetryBudget: 0.1,
	}
	defaultsWith := func(set func(e *policy.Effective)) policy.Effective {
		e := defaults
		set(&e)
		return e
	}
	for _, row := range []struct {
		name, policies, group, rank string
		want                        policy.Effective
	}{
		{"defaults", "", "orders", "", defaults},
		{"later wins", "[[policy]]\nname='a'\nqueue_limit=1\ndeadline='1s'\n[[policy]]\nname='b'\nqueue_limit=2", "orders", "normal",
			defaultsWith(func(e *policy.Effective) { e.QueueLimit, e.Deadline = 2, time.Second })},
		{"false and zero are values", "[[policy]]\nname='a'\nreplica_reads=false\nposition_wait='0s'\nretry_budget=0.0", "menus", "",
			defaultsWith(func(e *policy.Effective) { e.ReplicaReads, e.PositionWait, e.RetryBudget = false, 0, 0 })},
		{"group label", "[[policy]]\nname='a'\ngroups='tier=orders'\nmax_staleness='3s'", "orders", "",
			defaultsWith(func(e *policy.Effective) { e.MaxStaleness = 3 * time.Second })},
		{"no such label", "[[policy]]\nname='a'\ngroups='tier=orders'\nmax_staleness='3s'", "menus", "", defaults},
		{"absent label", "[[policy]]\nname='a'\ngroups='!tier'\nqueue_limit=9", "menus", "",
			defaultsWith(func(e *policy.Effective) { e.QueueLimit = 9 })},
		{"name label of a group", "[[policy]]\nname='a'\ngroups='name=menus'\nhedge_after='1s'", "menus", "",
			defaultsWith(func(e *policy.Effective) { e.HedgeAfter = time.Second })},
		{"name label of a rank", "[[policy]]\nname='a'\nranks='name in (urgent)'\nqueue_limit=7", "orders", "urgent",
			defaultsWith(func(e *policy.Effective) { e.QueueLimit = 7 })},
		{"rank label", "[[policy]]\nname='a'\nranks='work=orders'\nqueue_limit=7", "orders", "normal", defaults},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			cfg, err := policy.Parse("F", groupsAndRanks+row.policies)
			is.NoErr(err)
			byHand := &policy.Config{DatabaseGroups: cfg.DatabaseGroups, TrafficRanks: cfg.TrafficRanks, Policies: cfg.Policies}
			for _, c := range []*policy.Config{cfg, byHand} {
				got, ok := c.Effective(row.group, row.rank)
				is.True(ok)
				row.want.Rank, _ = c.Rank(row.rank)
				is.Equal(got, row.want)
				for _, undeclared := range [][2]string{{"none", ""}, {"orders", "none"}} {
					_, ok = c.Effective(undeclared[0], undeclared[1])
					is.True(!ok)
				}
			}
		})
	}
	is := is.New(t)
	r, ok := new(policy.Config).Rank("")
	is.True(ok)
	is.Equal(r.Name, "default") // the implicit rank
}

// TestEffectiveIgnoresOtherPolicies guards against any influence of policies
// that do not match: the effective values are the same wherever these policies
// are declared.
func TestEffectiveIgnoresOtherPolicies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := rapid.SliceOfN(rapid.IntRange(1, 99), 0, 5).Draw(t, "limits")
		matching, others := groupsAndRanks, groupsAndRanks
		n := 0
		addOthers := func() {
			for range rapid.IntRange(0, 3).Draw(t, "others") {
				n++
				sel := rapid.SampledFrom([]string{"groups='name=menus'", "ranks='work=orders'", "groups='!tier'", "groups='tier in (x,y)'"}).Draw(t, "selector")
				others += "[[policy]]\nname='other" + strconv.Itoa(n) + "'\n" + sel + "\nqueue_limit=1000\ndeadline='9s'\n"
			}
		}
		for i, limit := range limits {
			addOthers()
			p := "[[policy]]\nname='p" + strconv.Itoa(i) + "'\ngroups='tier=orders'\nqueue_limit=" + strconv.Itoa(limit) + "\n"
			matching += p
			others += p
		}
		addOthers()
		a, errA := policy.Parse("F", matching)
		b, errB := policy.Parse("F", others)
		if errA != nil || errB != nil {
			t.Fatal(errA, errB)
		}
		x, _ := a.Effective("orders", "normal")
		y, _ := b.Effective("orders", "normal")
		if x.QueueLimit != y.QueueLimit || x.Deadline != y.Deadline {
			t.Fatalf("without the others %+v, with them %+v", x, y)
		}
	})
}

// FuzzParse guards control and entry hosts against a panic on any configuration
// text. An accepted text must give effective values for every group and rank.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.toml")
	deployed, _ := filepath.Glob("../../deploy/*/configuration.toml")
	for _, file := range append(files, deployed...) {
		text, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Add(groupsAndRanks)
	f.Fuzz(func(t *testing.T, text string) { parseAndResolve(t, text) })
}

// TestParseNeverPanics guards against a panic on texts that are almost valid,
// which the random bytes of FuzzParse seldom are.
func TestParseNeverPanics(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{
			"[[policy]]\n", "[[database_group]]\n", "[[traffic_rank]]\n", "name = \"a\"\n", "members = 1\n", "default = true\n",
			"floor = inf\n", "floor = nan\n", "groups = \"a in (b)\"\n", "labels.x = \"y\"\n", "deadline = \"1s\"\n", "[policy.x]\n",
		}))).Draw(t, "parts")
		parseAndResolve(t, strings.Join(parts, ""))
	})
}

// parseAndResolve parses text and looks up the effective values of every group
// and rank of an accepted Config.
func parseAndResolve(t interface{ Fatalf(string, ...any) }, text string) {
	cfg, err := policy.Parse("F", text)
	if err != nil {
		return
	}
	for _, g := range cfg.DatabaseGroups {
		for _, r := range cfg.Ranks() {
			if _, ok := cfg.Effective(g.Name, r.Name); !ok {
				t.Fatalf("no effective values for %q and %q", g.Name, r.Name)
			}
		}
	}
}

// TestRanksInOrder guards against an order of the ranks that overflows.
func TestRanksInOrder(t *testing.T) {
	is := is.New(t)
	cfg, err := policy.Parse("F", `
		[[traffic_rank]]
		name = "last"
		order = 9223372036854775807
		[[traffic_rank]]
		name = "first"
		order = -9223372036854775808
		[[traffic_rank]]
		name = "middle"
		order = 0
		default = true`)
	is.NoErr(err)
	var names []string
	for _, r := range cfg.RanksInOrder() {
		names = append(names, r.Name)
	}
	is.Equal(names, []string{"first", "middle", "last"})
	r, ok := cfg.Rank("")
	is.True(ok)
	is.Equal(r.Name, "middle")
}

// TestParseNew guards against a new configuration with two meanings: the decoder takes the
// last of two keys that differ in case. It also guards against one in force that can't be
// read any more.
func TestParseNew(t *testing.T) {
	const group = "[[database_group]]\nname = \"a\"\nmembers = 1\n"
	for _, tc := range []struct{ name, text, want string }{ // want is part of the error; empty if there is none
		{"plain", group, ""},
		{"labels in two cases", group + "[database_group.labels]\nName = \"x\"\nB = \"y\"\nb = \"z\"\n", ""},
		{"a key in two cases", group + "Name = \"b\"\n", "F:4: database_group[0].Name: unknown key"},
		{"a key in another case", strings.Replace(group, "members", "Members", 1), "F:3: database_group[0].Members: unknown key"},
		{"a table in another case", "[[Database_group]]\nname = \"a\"\nmembers = 1\n", "unknown key"},
		{"a table in two cases", group + strings.ReplaceAll(group, "[d", "[D"), "unknown key"},
		{"line break in a name", strings.Replace(group, `"a"`, `"a\nb"`, 1), `F:2: database_group "a\nb": name: contains a control character`},
		{"NUL in a name", group + "[[policy]]\nname = \"\\u0000\"\n", "contains a control character"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			_, err := policy.Parse("F", tc.text)
			is.NoErr(err) // as by earlier releases
			_, err = policy.ParseNew("F", tc.text)
			is.Equal(err != nil, tc.want != "")
			is.True(err == nil || strings.Contains(err.Error(), tc.want)) // err
		})
	}
}
