package policy_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/arbutusring/arbutusring/pkg/policy"
)

// largeConfig declares groups in 3 regions, 3 ranks and 10 policies.
func largeConfig(tb testing.TB, groups int) *policy.Config {
	tb.Helper()
	var b strings.Builder
	for i := range groups {
		fmt.Fprintf(&b, "[[database_group]]\nname = \"g%d\"\nmembers = 3\nlabels = { region = \"r%d\", tier = \"orders\" }\n", i, i%3)
	}
	for i := range 3 {
		fmt.Fprintf(&b, "[[traffic_rank]]\nname = \"k%d\"\norder = %d\ndefault = %t\nlabels = { work = \"w%d\" }\n", i, i, i == 1, i)
	}
	for i := range 10 {
		fmt.Fprintf(&b, "[[policy]]\nname = \"p%d\"\ngroups = \"region in (r%d,r3),tier=orders\"\nranks = \"work!=w%d\"\nqueue_limit = %d\n", i, i%3, i%3, i+1)
	}
	cfg, err := policy.Parse("large.toml", b.String())
	if err != nil {
		tb.Fatal(err)
	}
	return cfg
}

// BenchmarkEffective looks up the last group, the worst case of a search.
func BenchmarkEffective(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprintf("groups=%d", n), func(b *testing.B) {
			cfg := largeConfig(b, n)
			name := fmt.Sprintf("g%d", n-1)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := cfg.Effective(name, "k2"); !ok {
					b.Fatal("not declared")
				}
			}
		})
	}
}
