#pragma once

// Expensive headers that nearly every file includes; parsed once.
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
