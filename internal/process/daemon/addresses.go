package daemon

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/process/member"
	"github.com/magnoliarelay/magnoliarelay/internal/request/once"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Addresses lists the live daemons for a caller: first those of its data centre,
// then those of its region, then the rest. The order within each group differs
// between answers, so that callers spread over the daemons.
func (d *Daemon) Addresses(dataCentre, region string) *wire.AddressList {
	now := time.Now()
	settings := d.Keeper.Current().Tree.Resolve("", "", "")
	if dataCentre == "" && region == "" {
		dataCentre, region = d.self.DataCentre, d.self.Region
	}
	members := slices.DeleteFunc(d.Table.All(now), func(m member.Member) bool { return !m.Serves() })
	salt := uint64(now.UnixNano())
	slices.SortFunc(members, func(a, b member.Member) int {
		return cmp.Or(
			cmp.Compare(distance(&a, dataCentre, region), distance(&b, dataCentre, region)),
			cmp.Compare(shuffleKey(&a, salt), shuffleKey(&b, salt)),
		)
	})
	members = members[:min(len(members), maxAddresses)]
	list := &wire.AddressList{
		KeepMillis:     settings.AddressKeep.Milliseconds(),
		HomeKeepMillis: settings.AddressKeep.Milliseconds(),
	}
	for i := range members {
		list.Addresses = append(list.Addresses, address(&members[i]))
	}
	return list
}

// MaxAddresses returns the maximum length of the list from Addresses.
func (d *Daemon) MaxAddresses() int { return maxAddresses }

func address(m *member.Member) wire.Address {
	// The token is valid for half of maxTokenLife, which leaves time for resends after
	// the address list has expired.
	expiry := m.UptimeMillis + maxTokenLife.Milliseconds()/tokenValidityDivisor
	token := once.Token{Daemon: m.Name, Incarnation: m.Incarnation, ExpiryMillis: expiry}
	return wire.Address{URL: m.URL, DataCentre: m.DataCentre, Region: m.Region, Home: token.String()}
}

func distance(m *member.Member, dataCentre, region string) int {
	switch {
	case m.DataCentre == dataCentre:
		return 0
	case m.Region == region:
		return 1
	}
	return 2
}

func shuffleKey(m *member.Member, salt uint64) uint64 {
	return xxhash.Sum64String(m.Name) ^ salt*0x9e3779b97f4a7c15
}
