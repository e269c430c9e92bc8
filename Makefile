# `make demo` and `make check` are all a fresh Debian 12 needs.
BUILD_DIR ?= build
export BUILD_DIR

.PHONY: deps build demo check bench format lint sanitize clean

deps:
	tools/install-deps.sh

build: deps
	cmake -S . -B $(BUILD_DIR) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
	cmake --build $(BUILD_DIR)

demo: build
	tools/demo.sh

check: build
	tools/check-format.sh
	tools/run-tests.sh

lint: build
	tools/lint.sh

bench: build
	$(BUILD_DIR)/bench/wasabiloom_bench

sanitize: deps
	cmake --preset sanitize
	cmake --build --preset sanitize
	BUILD_DIR=build-sanitize tools/run-tests.sh

format:
	tools/format.sh

clean:
	rm -rf $(BUILD_DIR) build-sanitize
