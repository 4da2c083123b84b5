package operator

import (
	"net/url"
	"unicode/utf8"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// parseQuestion parses the parameters of a health query. An empty selector matches
// everything, so a parameter that can't be read, is unknown or comes twice is an error.
func parseQuestion(query string) (url.Values, error) {
	values, err := url.ParseQuery(query)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err, "cannot parse the query")
	}
	for name, given := range values {
		if name != "kind" && name != "selector" {
			return nil, errkind.New(errkind.BadRequest, "parameter %q is not known", name)
		}
		if len(given) != 1 || !utf8.ValidString(given[0]) {
			return nil, errkind.New(errkind.BadRequest, "parameter %q comes twice or is not UTF-8", name)
		}
	}
	return values, nil
}
