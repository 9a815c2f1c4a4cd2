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

// Addresses lists live daemons for a caller: those of its data centre first,
// then its region's, then the rest. Within each part the order differs from one
// answer to the next, so that callers spread.
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
			cmp.Compare(spread(&a, salt), spread(&b, salt)),
		)
	})
	members = members[:min(len(members), addressesMost)]
	list := &wire.AddressList{
		KeepMillis:     settings.AddressKeep.Milliseconds(),
		HomeKeepMillis: settings.AddressKeep.Milliseconds(),
	}
	for i := range members {
		list.Addresses = append(list.Addresses, address(&members[i]))
	}
	return list
}

// AddressesMost returns the longest list that Addresses gives.
func (d *Daemon) AddressesMost() int { return addressesMost }

func address(m *member.Member) wire.Address {
	// Half the life is left for resends after the list has run out.
	expiry := m.UptimeMillis + homeLife.Milliseconds()/homeKeepDivisor
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

func spread(m *member.Member, salt uint64) uint64 {
	return xxhash.Sum64String(m.Name) ^ salt*0x9e3779b97f4a7c15
}
