package cluster

import (
	"slices"
	"testing"
	"time"

	"lilaclead/internal/wire"
)

func TestImageCacheEvictsTheLeastRecentlyUsed(t *testing.T) {
	type use struct {
		image  wire.ImageID
		sizeGB float64
	}
	tests := map[string]struct {
		capacityGB float64
		uses       []use // one second apart
		want       []wire.ImageID
	}{
		"all fit":                             {10, []use{{"a", 4}, {"b", 6}}, []wire.ImageID{"a", "b"}},
		"the oldest is evicted":               {10, []use{{"a", 4}, {"b", 4}, {"c", 4}}, []wire.ImageID{"b", "c"}},
		"a use makes it the newest":           {10, []use{{"a", 4}, {"b", 4}, {"a", 4}, {"c", 4}}, []wire.ImageID{"a", "c"}},
		"several are evicted for a large one": {10, []use{{"a", 4}, {"b", 4}, {"c", 8}}, []wire.ImageID{"c"}},
		"one larger than the cache stays":     {10, []use{{"a", 4}, {"b", 12}}, []wire.ImageID{"b"}},
		"unknown capacity evicts nothing":     {0, []use{{"a", 400}, {"b", 400}}, []wire.ImageID{"a", "b"}},
		"an image's size changes":             {10, []use{{"a", 4}, {"b", 4}, {"b", 8}}, []wire.ImageID{"b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var cache ImageCache
			now := time.Now()
			for i, u := range tt.uses {
				cache.RecordUse(u.image, u.sizeGB, tt.capacityGB, now.Add(time.Duration(i)*time.Second))
			}
			var got []wire.ImageID
			for _, id := range []wire.ImageID{"a", "b", "c"} {
				if cache.Has(id) {
					got = append(got, id)
				}
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("images after %v in %v GB = %v, want %v", tt.uses, tt.capacityGB, got, tt.want)
			}
		})
	}
}
