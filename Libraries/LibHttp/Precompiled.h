#pragma once

// Heavy headers that nearly every file here needs; parsed once.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>
