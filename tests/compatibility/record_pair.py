"""Record decisions, connection bytes, client answers and files of edge and planner.

Run once: python -m tests.compatibility.record_pair
"""

from cressrock.planner.epochs import EpochStore
from tests.compatibility import denial_cases, pair_cases, pair_link_cases
from tests.compatibility.canonical import FIXTURES, save

EPOCHS = {"pair_epoch_file.bin": 1796233387123, "pair_life_file.bin": 9}

if __name__ == "__main__":
    for name, digest in pair_cases.STREAMS.items():
        save(f"pair_{name}", [digest(seed) for seed in pair_cases.SEEDS])
    save("pair_epochs", pair_cases.epochs())
    save("pair_link", {name: pair_link_cases.run_scenario(name) for name in pair_link_cases.SCENARIOS})
    save("denials", denial_cases.denials())
    save("gateway_answers", denial_cases.answers_of_a_gateway())
    for file_name, epoch in EPOCHS.items():
        EpochStore(str(FIXTURES / file_name)).write(epoch)
    save("pair_epoch_values", EPOCHS)
