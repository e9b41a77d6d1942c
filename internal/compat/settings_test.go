package compat_test

import (
	"encoding/hex"
	"reflect"
	"testing"

	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

// Operators' settings are stored by name, so a renamed setting would lose its stored value.
func TestNamesOfSettingsDoNotChange(t *testing.T) {
	stored := map[string]any{"utility.preferred": 1.5, "utility.fallback": 0.25, "utility.wait_raise_s": 61.0, "round.period_s": 2.0, "services.spare_units": 3.0,
		"gangs.spare": 4.0, "fleet.keep_boots": 0.75, "fleet.stretch_share": 0.7, "fleet.dear_limit": 2.25, "upgrade.max_version": 12.0, "log.level": "debug"}
	want := tuning.Values{PreferredFactor: 1.5, FallbackFactor: 0.25, WaitDoublingSeconds: 61, CycleIntervalSeconds: 2, SpareReplicas: 3, SpareGangs: 4, IdleBootTimes: 0.75, LogLevel: "debug", PriceLimit: 2.25, StretchShare: 0.7, MaxVersion: 12}
	raw, err := hex.DecodeString(storedSettings)
	if err != nil {
		t.Fatal(err)
	}
	var decoded map[string]any
	if err := wire.Decode(raw, &decoded); err != nil || !reflect.DeepEqual(decoded, stored) {
		t.Errorf("decoded settings: got %v, %v, want %v", decoded, err, stored)
	}
	if got, err := tuning.Override(tuning.Default(), decoded, true); err != nil || got != want {
		t.Errorf("applied settings: got %+v, %v, want %+v", got, err, want)
	}
	if len(tuning.Fields) != len(stored) || reflect.TypeFor[tuning.Values]().NumField() != len(stored) {
		t.Errorf("got %d settings, want the %d that are tested here", len(tuning.Fields), len(stored))
	}
}

// storedSettings is a record as stored under fact/settings, in hexadecimal digits.
const storedSettings = "ab73757067726164652e6d61785f76657273696f6efb40280000000000006b67616e67732e7370617265fb401000000000000073666c6565742e737472657463685f7368617265fb3fe666666666666670666c6565742e646561725f6c696d6974fb4002000000000000696c6f672e6c6576656c656465627567717574696c6974792e707265666572726564fb3ff8000000000000707574696c6974792e66616c6c6261636bfb3fd00000000000006e726f756e642e706572696f645f73fb40000000000000007473657276696365732e73706172655f756e697473fb400800000000000070666c6565742e6b6565705f626f6f7473fb3fe8000000000000747574696c6974792e776169745f72616973655f73fb404e800000000000"
