package entry

import (
	"net/netip"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// address is what other entry hosts know of a host's listeners: one IP number
// with the ports of the peer and the caller listener, written "IP:PEER/CALLER".
type address struct {
	Peer   netip.AddrPort
	Caller netip.AddrPort
}

func parseAddress(text string) (address, error) {
	peer, callerPort, ok := strings.Cut(text, "/")
	ap, err := netip.ParseAddrPort(peer)
	if err != nil {
		return address{}, errors.Errorf("%q is not an entry host address", text)
	}
	if !ok {
		return address{Peer: ap}, nil
	}
	port, err := strconv.ParseUint(callerPort, 10, 16)
	if err != nil {
		return address{}, errors.Errorf("%q is not an entry host address", text)
	}
	return address{Peer: ap, Caller: netip.AddrPortFrom(ap.Addr(), uint16(port))}, nil
}

func (a address) String() string {
	return a.Peer.String() + "/" + strconv.Itoa(int(a.Caller.Port()))
}

// joinAddress builds the text form from two listener addresses, which must
// have been checked to have the same IP number.
func joinAddress(peer, caller string) string {
	_, port, _ := strings.Cut(caller[strings.LastIndexByte(caller, ':'):], ":")
	return peer + "/" + port
}
