/// Runs Qt's event loop inside a test.
#pragma once

#include <QCoreApplication>
#include <QElapsedTimer>

#include <functional>

namespace wasabiloom::tests {

/// Lets events run until `aDone` holds; false when that takes too long.
bool
RunUntil(const std::function<bool()>& aDone);

} // namespace wasabiloom::tests
