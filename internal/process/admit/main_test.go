package admit

import (
	"testing"

	"goldcrestwick/internal/stand/seeds"
)

func TestMain(m *testing.M) { seeds.Main(m) }
