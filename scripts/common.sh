# Shared by the scripts: packages, and the build.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
# Builds in another folder share what they compile alike.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1

PACKAGES="g++ cmake ninja-build pkg-config ccache clang-format clang-tidy libpistache-dev libnghttp2-dev
libcurl4-openssl-dev libboost-dev libcxxopts-dev libeasyloggingpp-dev libtrompeloeil-cpp-dev catch2
nlohmann-json3-dev libmsgpack-cxx-dev libxxhash-dev libsodium-dev librapidcheck-dev libbenchmark-dev rapidjson-dev zlib1g-dev"

# Installs what is missing, as root on Debian; says what is needed elsewhere.
install_packages() {
  local missing="" package
  for package in $PACKAGES; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing="$missing $package"
  done
  [ -z "$missing" ] && return 0
  if [ "$(id -u)" != 0 ]; then
    echo "these packages are missing, install them first:$missing" >&2
    return 1
  fi
  apt-get update -qq
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing >/dev/null
}

# build PRESET: configures and builds.
build() {
  local generator=()
  command -v ninja >/dev/null && [ ! -e "$(preset_folder "$1")/CMakeCache.txt" ] && generator=(-G Ninja)
  cmake --preset "$1" "${generator[@]}" >/dev/null
  cmake --build "$(preset_folder "$1")" --parallel "$(nproc)"
}

preset_folder() {
  case "$1" in
    release) echo build ;;
    *) echo "build-$1" ;;
  esac
}
