package operator

import (
	"net/netip"
	"strings"
	"unicode"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// checkAnnouncement returns an error if a name of a server would end the field that it is
// written into later: the address is an argument of a contract function and part of the
// connection settings of its replicas. Control refuses empty names.
func checkAnnouncement(s *controlrpc.Server) error {
	for _, name := range []string{s.ID, s.Group} {
		if strings.ContainsFunc(name, unicode.IsControl) {
			return errkind.New(errkind.BadRequest, "the id or group %q contains a control character", name)
		}
	}
	if s.Address == "" {
		return nil
	}
	a, err := netip.ParseAddrPort(s.Address)
	if err != nil || a.Port() == 0 || strings.ContainsFunc(a.Addr().Zone(), notInZone) {
		return errkind.New(errkind.BadRequest, "the address %q is not ip:port", s.Address)
	}
	return nil
}

// notInZone reports whether r can't be part of the name of a network interface.
func notInZone(r rune) bool {
	return !unicode.IsLetter(r) && !unicode.IsDigit(r) && !strings.ContainsRune(".-_", r)
}
