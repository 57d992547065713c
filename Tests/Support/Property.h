#pragma once

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <string>

namespace Support {

/// Checks a RapidCheck property and fails the CppUnit test if a case violates it.
template <typename Property>
void assertProperty(const std::string &description, Property property)
{
    CPPUNIT_ASSERT_MESSAGE(description, rc::check(description, property));
}

} // namespace Support
